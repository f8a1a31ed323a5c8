"""Acceptance of a configuration: store the blob, then move the row."""

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

MAX_TRIES = 4
PUTS_AT_ONCE = 8
RETRY_PAUSE_S = 0.5


@dataclass(frozen=True)
class LostRace:
    """Another change was accepted first.

    Attributes:
        ours: The change that was not accepted.
        theirs: The change in the row.
    """

    ours: AcceptedConfig
    theirs: AcceptedConfig


@dataclass(frozen=True)
class Undecided:
    """The platform did not say whether the change was accepted."""

    ours: AcceptedConfig
    reason: str


@dataclass(frozen=True)
class NotAccepted:
    """The change was surely not accepted."""

    reason: str


AcceptError: TypeAlias = LostRace | Undecided | NotAccepted


async def accept_config(
    table: TableStore,
    objects: ObjectStore,
    source: ConfigSource,
    author: str,
    current: Row,
    pause_s: float = RETRY_PAUSE_S,
) -> Result[AcceptedConfig, AcceptError]:
    """Make a checked source the accepted configuration.

    The same source may be accepted again: while it is the one in the row, nothing is
    written, so a run whose outcome stayed open is settled by running it again.

    Args:
        table: Holds the row that names the accepted configuration.
        objects: Holds the blob.
        source: The checked source.
        author: Name shown to the loser of a race.
        current: The row that the source was derived from; a change accepted since
            then wins.
        pause_s: Time between tries after a lost reply, in seconds.

    Returns:
        What was accepted, or why not. A lost reply is settled by the change's
        identity in the row.
    """
    match bundle_source(source):
        case Failure(errors):
            return Failure(NotAccepted("; ".join(str(error) for error in errors)))
        case Success(made):
            bundle: Bundle = made
    digest = bundle.manifest.digest
    match _named(current):
        case Failure(error):
            return Failure(error)
        case Success(AcceptedConfig() as found) if found.digest == digest:
            return Success(found)
        case Success(found):
            ours = next_config(found, digest, uuid4().hex, author)
    stored = await _store_bundle(objects, bundle, pause_s)
    if isinstance(stored, Failure):
        return stored
    return await _move_row(table, ours, pause_s)


def bundle_source(
    source: ConfigSource,
) -> Result[Bundle, tuple[ConfigError, ...]]:
    """Return what is to be stored for a source, or the errors of its sites."""
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
    objects: ObjectStore, bundle: Bundle, pause_s: float
) -> Result[None, AcceptError]:
    # The manifest comes last, so that whoever finds it finds the rest too.
    for start in range(0, len(bundle.blobs), PUTS_AT_ONCE):
        batch = bundle.blobs[start : start + PUTS_AT_ONCE]
        stored = await gather(*(_store_blob(objects, b, pause_s) for b in batch))
        for result in stored:
            if isinstance(result, Failure):
                return result
    return await _store_blob(objects, bundle.manifest, pause_s)


async def _store_blob(
    objects: ObjectStore, blob: Blob, pause_s: float
) -> Result[None, AcceptError]:
    reason = ""
    for _ in range(MAX_TRIES):
        # Storing the same blob again is harmless, so a lost reply is no matter.
        match await objects.put(blob_name(blob.digest), blob.content):
            case Success(_):
                return Success(None)
            case Failure(error):
                reason = error.reason
        await sleep(pause_s)
    return Failure(NotAccepted(f"blob {blob.digest} was not stored: {reason}"))


def _named(row: Row) -> Result[AcceptedConfig | None, AcceptError]:
    if row.version == 0:
        return Success(None)
    try:
        return Success(_accepted(row))
    except BadMessage as error:
        return Failure(NotAccepted(f"the row is not readable: {error}"))


async def _move_row(
    table: TableStore, ours: AcceptedConfig, pause_s: float
) -> Result[AcceptedConfig, AcceptError]:
    # A write whose reply was lost is sent again as it was. The condition lets at most
    # one of the copies take effect, also one that was held up on its way.
    value = encode(ours).decode()
    may_have_applied = False
    reason = ""
    for _ in range(MAX_TRIES):
        match await table.write(CONFIG_KEY, value, ours.version - 1):
            case Success(_):
                return Success(ours)
            case Failure(Conflict(row)):
                return _settle(ours, row)
            case Failure(Unavailable(reason, applied)):
                may_have_applied = may_have_applied or applied
        await sleep(pause_s)
    if may_have_applied:
        return Failure(Undecided(ours, reason))
    return Failure(NotAccepted(f"the row was not written: {reason}"))


def _settle(ours: AcceptedConfig, row: Row) -> Result[AcceptedConfig, AcceptError]:
    if row.version < ours.version:
        return Failure(Undecided(ours, f"the row fell back to version {row.version}"))
    try:
        theirs = _accepted(row)
    except BadMessage as error:
        return Failure(Undecided(ours, f"the row is not readable: {error}"))
    if theirs.change == ours.change or theirs.follows(ours):
        return Success(ours)
    if theirs.digest == ours.digest:
        return Success(theirs)
    if theirs.follows(ours) is None:
        changes = theirs.version - ours.version
        return Failure(Undecided(ours, f"{changes} changes were accepted since"))
    return Failure(LostRace(ours, theirs))


def _accepted(row: Row) -> AcceptedConfig:
    return decode(row.value, AcceptedConfig)
