"""Messages of the platform's services: table, object store, VM list, weight store."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias


@dataclass(frozen=True)
class Row:
    """One row of the table.

    Attributes:
        key: Name of the row.
        version: Increased by one at each write; 0 means that the row is absent.
        value: Content, JSON text.
    """

    key: str
    version: int
    value: str


@dataclass(frozen=True)
class Conflict:
    """A conditional write failed because the row is not at the expected version."""

    current: Row


@dataclass(frozen=True)
class Unavailable:
    """The platform did not answer.

    Attributes:
        reason: What happened.
        may_have_applied: Whether a write may have been applied nevertheless.
    """

    reason: str
    may_have_applied: bool


@dataclass(frozen=True)
class NotStored:
    """No object has this name."""

    name: str


WriteError: TypeAlias = Conflict | Unavailable
ReadError: TypeAlias = NotStored | Unavailable


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VmEntry:
    """One VM in the platform's list.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        address: Host and port of the node or upstream on it.
        role: `entry` or `upstream`.
        state: Whether the VM is about to be removed.
    """

    vm: str
    zone: str
    address: str
    role: str
    state: VmState


@dataclass(frozen=True)
class TicketRefused:
    """The rate limit of the weight store is reached."""

    retry_after_s: float
