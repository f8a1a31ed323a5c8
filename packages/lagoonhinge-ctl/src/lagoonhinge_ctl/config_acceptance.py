"""Acceptance of a configuration: store the blobs, then update the row."""

from asyncio import gather, sleep
from dataclasses import dataclass
from typing import TypeAlias
from uuid import uuid4

from returns.result import Failure, Result, Success

from lagoonhinge_core.config import Config
from lagoonhinge_core.config_decode import ConfigError
from lagoonhinge_core.config_load import ConfigSource, load_site
from lagoonhinge_core.config_parts import Blob, Bundle, make_bundle
from lagoonhinge_core.config_row import (
    CONFIG_KEY,
    AcceptedConfig,
    blob_name,
    next_config,
)
from lagoonhinge_core.ports import ObjectStore, TableStore
from lagoonhinge_core.store_messages import Conflict, Row, Unavailable
from lagoonhinge_http.wire import BadMessage, decode, encode

MAX_ATTEMPTS = 4
MAX_CONCURRENT_PUTS = 8
RETRY_DELAY_S = 0.5


@dataclass(frozen=True)
class ChangeConflict:
    """Another change was accepted first.

    Attributes:
        ours: The change that was not accepted.
        theirs: The change in the row.
    """

    ours: AcceptedConfig
    theirs: AcceptedConfig


@dataclass(frozen=True)
class OutcomeUnknown:
    """It is unknown whether the change was accepted."""

    ours: AcceptedConfig
    reason: str


@dataclass(frozen=True)
class NotAccepted:
    """The change was not accepted and will not be later."""

    reason: str


AcceptError: TypeAlias = ChangeConflict | OutcomeUnknown | NotAccepted


async def accept_config(
    table: TableStore,
    objects: ObjectStore,
    source: ConfigSource,
    author: str,
    current: Row,
    retry_delay_s: float = RETRY_DELAY_S,
) -> Result[AcceptedConfig, AcceptError]:
    """Make a checked source the accepted configuration.

    The call is idempotent: while the row already names the same source, nothing is
    written. A call whose outcome is unknown can therefore be repeated.

    Args:
        table: Holds the row that names the accepted configuration.
        objects: Holds the blobs.
        source: The checked source.
        author: Name shown to the author of a conflicting change.
        current: The row that the source was derived from; a change accepted since
            then takes precedence.
        retry_delay_s: Delay before each retry, in seconds.

    Returns:
        What was accepted, or why not. After a lost reply, the identity of the
        change in the row shows whether the write took effect.
    """
    match bundle_source(source):
        case Failure(errors):
            return Failure(NotAccepted("; ".join(str(error) for error in errors)))
        case Success(built):
            bundle: Bundle = built
    digest = bundle.manifest.digest
    match _decode_current(current):
        case Failure(error):
            return Failure(error)
        case Success(AcceptedConfig() as accepted) if accepted.digest == digest:
            return Success(accepted)
        case Success(accepted):
            ours = next_config(accepted, digest, uuid4().hex, author)
    stored = await _store_bundle(objects, bundle, retry_delay_s)
    if isinstance(stored, Failure):
        return stored
    return await _write_row(table, ours, retry_delay_s)


def bundle_source(
    source: ConfigSource,
) -> Result[Bundle, tuple[ConfigError, ...]]:
    """Return the blobs to store for a source, or the errors of its sites."""
    configs: dict[str, Config] = {}
    for site in sorted(source.sites) or [""]:
        match load_site(source, site):
            case Success(config):
                configs[site] = config
            case Failure(errors):
                return Failure(errors)
    blob = Blob(source.digest(), source.encode())
    return Success(make_bundle(blob, configs))


async def _store_bundle(
    objects: ObjectStore, bundle: Bundle, retry_delay_s: float
) -> Result[None, AcceptError]:
    # Store the manifest last, so that every blob it names exists once it does.
    for start in range(0, len(bundle.blobs), MAX_CONCURRENT_PUTS):
        batch = bundle.blobs[start : start + MAX_CONCURRENT_PUTS]
        stored = await gather(
            *(_store_blob(objects, blob, retry_delay_s) for blob in batch)
        )
        for result in stored:
            if isinstance(result, Failure):
                return result
    return await _store_blob(objects, bundle.manifest, retry_delay_s)


async def _store_blob(
    objects: ObjectStore, blob: Blob, retry_delay_s: float
) -> Result[None, AcceptError]:
    reason = ""
    for _ in range(MAX_ATTEMPTS):
        # Storing a blob is idempotent, so it is retried after a lost reply.
        match await objects.put(blob_name(blob.digest), blob.content):
            case Success(_):
                return Success(None)
            case Failure(error):
                reason = error.reason
        await sleep(retry_delay_s)
    return Failure(NotAccepted(f"blob {blob.digest} was not stored: {reason}"))


def _decode_current(row: Row) -> Result[AcceptedConfig | None, AcceptError]:
    if row.version == 0:
        return Success(None)
    try:
        return Success(_decode_row(row))
    except BadMessage as error:
        return Failure(NotAccepted(f"the row cannot be decoded: {error}"))


async def _write_row(
    table: TableStore, ours: AcceptedConfig, retry_delay_s: float
) -> Result[AcceptedConfig, AcceptError]:
    # A write whose reply was lost is retried unchanged. The version condition lets at
    # most one of the copies take effect, including one that arrives late.
    value = encode(ours).decode()
    may_have_applied = False
    reason = ""
    for _ in range(MAX_ATTEMPTS):
        match await table.write(CONFIG_KEY, value, ours.version - 1):
            case Success(_):
                return Success(ours)
            case Failure(Conflict(row)):
                return _resolve_conflict(ours, row)
            case Failure(Unavailable(reason, applied)):
                may_have_applied = may_have_applied or applied
        await sleep(retry_delay_s)
    if may_have_applied:
        return Failure(OutcomeUnknown(ours, reason))
    return Failure(NotAccepted(f"the row was not written: {reason}"))


def _resolve_conflict(
    ours: AcceptedConfig, row: Row
) -> Result[AcceptedConfig, AcceptError]:
    if row.version < ours.version:
        return Failure(
            OutcomeUnknown(ours, f"the row went back to version {row.version}")
        )
    try:
        theirs = _decode_row(row)
    except BadMessage as error:
        return Failure(OutcomeUnknown(ours, f"the row cannot be decoded: {error}"))
    if theirs.change == ours.change or theirs.follows(ours):
        return Success(ours)
    if theirs.digest == ours.digest:
        return Success(theirs)
    if theirs.follows(ours) is None:
        changes = theirs.version - ours.version
        return Failure(OutcomeUnknown(ours, f"{changes} changes were accepted since"))
    return Failure(ChangeConflict(ours, theirs))


def _decode_row(row: Row) -> AcceptedConfig:
    return decode(row.value, AcceptedConfig)
