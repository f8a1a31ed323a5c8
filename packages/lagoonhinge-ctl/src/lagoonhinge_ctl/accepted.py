"""Reading of the accepted configuration from the platform."""

from dataclasses import dataclass

from returns.result import Failure, Success

from lagoonhinge_core.config_load import ConfigSource, decode_source
from lagoonhinge_core.config_parts import Manifest
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig, blob_name
from lagoonhinge_core.store_messages import Row
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import stop
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.wire import decode

NO_SOURCE = ConfigSource("", {})


@dataclass(frozen=True)
class Accepted:
    """The accepted configuration.

    Attributes:
        row: The row that names it, at version 0 before the first.
        change: Content of the row; `None` before the first.
        source: The files; empty before the first.
    """

    row: Row
    change: AcceptedConfig | None
    source: ConfigSource


async def read_accepted(platform: HttpPlatform) -> Accepted:
    """Return the accepted configuration, or exit if it can't be read."""
    match await platform.read(CONFIG_KEY):
        case Failure(error):
            stop(ExitCode.PLATFORM, f"the row was not read: {error.reason}")
        case Success(found):
            row: Row = found
    if row.version == 0:
        return Accepted(row, None, NO_SOURCE)
    change = decode(row.value, AcceptedConfig)
    manifest = decode(await _read_blob(platform, change.digest), Manifest)
    source = decode_source(await _read_blob(platform, manifest.source_digest))
    return Accepted(row, change, source)


async def _read_blob(platform: HttpPlatform, digest: str) -> bytes:
    match await platform.get(blob_name(digest)):
        case Success(blob):
            content: bytes = blob
            return content
        case Failure(error):
            stop(ExitCode.PLATFORM, f"blob {digest} was not read: {error}")
    raise AssertionError("not a result")
