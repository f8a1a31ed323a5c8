"""Acceptance of a configuration: store the blob, then move the row."""

from asyncio import sleep
from dataclasses import dataclass
from typing import TypeAlias
from uuid import uuid4

from returns.result import Failure, Result, Success

from lagoonhinge_core.config_load import ConfigSource
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
    stored = await _store_blob(objects, source, pause_s)
    if isinstance(stored, Failure):
        return stored
    match _named(current):
        case Failure(error):
            return Failure(error)
        case Success(AcceptedConfig() as found) if found.digest == source.digest():
            return Success(found)
        case Success(found):
            ours = next_config(found, source.digest(), uuid4().hex, author)
    return await _move_row(table, ours, pause_s)


async def _store_blob(
    objects: ObjectStore, source: ConfigSource, pause_s: float
) -> Result[None, AcceptError]:
    reason = ""
    for _ in range(MAX_TRIES):
        # Storing the same blob again is harmless, so a lost reply is no matter.
        match await objects.put(blob_name(source.digest()), source.encode()):
            case Success(_):
                return Success(None)
            case Failure(error):
                reason = error.reason
        await sleep(pause_s)
    return Failure(NotAccepted(f"the blob was not stored: {reason}"))


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
