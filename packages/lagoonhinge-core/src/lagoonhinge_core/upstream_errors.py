"""Errors of calls to upstreams, by what is known about the call's execution."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class NotSent:
    """No byte reached the upstream; the call was not run."""

    reason: str


@dataclass(frozen=True)
class Refused:
    """The upstream reported that it did not run the call and may do so later."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Rejected:
    """The upstream rejected the call as invalid: not run, and a retry would fail."""

    status: int
    reason: str


@dataclass(frozen=True)
class Broken:
    """The connection ended after bytes may have reached the upstream."""

    reason: str


@dataclass(frozen=True)
class Silent:
    """Nothing arrived within a timeout on a connection that is still open."""

    waited_s: float


@dataclass(frozen=True)
class Gone:
    """The upstream reported that it no longer holds the requested resource."""

    reason: str


@dataclass(frozen=True)
class EngineFault:
    """The upstream ran the call and reported that it failed."""

    reason: str


UpstreamError: TypeAlias = (
    NotSent | Refused | Rejected | Broken | Silent | Gone | EngineFault
)


def surely_not_run(error: UpstreamError) -> bool:
    """Return whether the failed call cannot have been executed."""
    return isinstance(error, NotSent | Refused | Rejected)
