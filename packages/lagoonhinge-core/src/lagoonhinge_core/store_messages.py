"""Messages of the platform's services: table, object store, VM list, weight store."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias


@dataclass(frozen=True)
class Row:
    """One row of the table.

    Attributes:
        key: Name of the row.
        version: Raised by one at each write; 0 stands for a row that is absent.
        value: Content, JSON text.
    """

    key: str
    version: int
    value: str


@dataclass(frozen=True)
class Conflict:
    """A conditional write that lost: the row is not at the expected version."""

    current: Row


@dataclass(frozen=True)
class Unavailable:
    """The platform did not answer.

    Attributes:
        reason: What happened.
        may_have_applied: Whether a write may have taken effect all the same.
    """

    reason: str
    may_have_applied: bool


@dataclass(frozen=True)
class NotStored:
    """No object of this name."""

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
        address: Host and port of the process on it that the system talks to.
        role: `entry` or `upstream`.
        state: Whether the VM is about to go.
    """

    vm: str
    zone: str
    address: str
    role: str
    state: VmState


@dataclass(frozen=True)
class TicketRefused:
    """The weight store's rate is used up."""

    retry_after_s: float
