"""Acceptance of a configuration: store the blob, then move the row."""

from dataclasses import dataclass
from typing import TypeAlias
from uuid import uuid4

from returns.result import Failure, Result, Success

from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig, blob_name
from lagoonhinge_core.ports import ObjectStore, TableStore
from lagoonhinge_core.store_messages import Conflict, Row, Unavailable
from lagoonhinge_http.wire import decode, encode


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
) -> Result[AcceptedConfig, AcceptError]:
    """Make a checked source the accepted configuration.

    Args:
        table: Holds the row that names the accepted configuration.
        objects: Holds the blob.
        source: The checked source.
        author: Name shown to the loser of a race.
        current: The row that the source was derived from; a change accepted since
            then wins.

    Returns:
        What was accepted, or why not. A lost reply is settled by the change's
        identity in the row.
    """
    stored = await objects.put(blob_name(source.digest()), source.encode())
    if isinstance(stored, Failure):
        return Failure(NotAccepted(f"the blob was not stored: {stored.failure()}"))
    ours = AcceptedConfig(current.version + 1, source.digest(), uuid4().hex, author)
    match await table.write(CONFIG_KEY, encode(ours).decode(), current.version):
        case Success(_):
            return Success(ours)
        case Failure(Conflict(row)):
            return _settle(ours, row)
        case Failure(Unavailable(reason, True)):
            return await _settle_lost_reply(table, ours, reason)
        case Failure(error):
            return Failure(NotAccepted(f"the row was not written: {error}"))
    raise AssertionError("not a result")


async def _settle_lost_reply(
    table: TableStore, ours: AcceptedConfig, reason: str
) -> Result[AcceptedConfig, AcceptError]:
    match await table.read(CONFIG_KEY):
        case Success(row):
            return _settle(ours, row)
        case _:
            return Failure(Undecided(ours, reason))


def _settle(ours: AcceptedConfig, row: Row) -> Result[AcceptedConfig, AcceptError]:
    if row.version < ours.version:
        return Failure(Undecided(ours, "the write has not taken effect so far"))
    theirs = decode(row.value, AcceptedConfig)
    if theirs.change == ours.change:
        return Success(ours)
    return Failure(LostRace(ours, theirs))
