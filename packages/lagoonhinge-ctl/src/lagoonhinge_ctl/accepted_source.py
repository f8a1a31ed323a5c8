"""Read the accepted configuration from the platform."""

from dataclasses import dataclass

from returns.result import Failure, Success

from lagoonhinge_core.config_load import ConfigSource, decode_source
from lagoonhinge_core.config_parts import Manifest
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig, blob_name
from lagoonhinge_core.store_messages import Row
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import exit_with_error
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.wire import decode

EMPTY_SOURCE = ConfigSource("", {})


@dataclass(frozen=True)
class AcceptedSource:
    """The accepted configuration and its files.

    Attributes:
        row: The row that names it; version 0 before the first acceptance.
        change: Content of the row; `None` before the first acceptance.
        source: The files; empty before the first acceptance.
    """

    row: Row
    change: AcceptedConfig | None
    source: ConfigSource


async def read_accepted_source(platform: HttpPlatform) -> AcceptedSource:
    """Return the accepted configuration, or exit if it can't be read."""
    match await platform.read(CONFIG_KEY):
        case Failure(error):
            exit_with_error(ExitCode.PLATFORM, f"the row was not read: {error.reason}")
        case Success(current_row):
            row: Row = current_row
    if row.version == 0:
        return AcceptedSource(row, None, EMPTY_SOURCE)
    change = decode(row.value, AcceptedConfig)
    manifest = decode(await _read_blob(platform, change.digest), Manifest)
    source = decode_source(await _read_blob(platform, manifest.source_digest))
    return AcceptedSource(row, change, source)


async def _read_blob(platform: HttpPlatform, digest: str) -> bytes:
    match await platform.get(blob_name(digest)):
        case Success(stored):
            content: bytes = stored
            return content
        case Failure(error):
            exit_with_error(ExitCode.PLATFORM, f"blob {digest} was not read: {error}")
    raise AssertionError("not a result")
