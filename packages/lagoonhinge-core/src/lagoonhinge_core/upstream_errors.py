"""How a call to an upstream can fail, by what is known about its execution."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class NotSent:
    """No byte reached the upstream: the call was not run."""

    reason: str


@dataclass(frozen=True)
class Refused:
    """The upstream said that it did not run the call and may do so later."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Rejected:
    """The upstream said that the call is wrong: it was not run and never will be."""

    status: int
    reason: str


@dataclass(frozen=True)
class Broken:
    """The connection ended after bytes may have reached the upstream."""

    reason: str


@dataclass(frozen=True)
class Silent:
    """Nothing arrived for a time, on a connection that is still open."""

    waited_s: float


@dataclass(frozen=True)
class Gone:
    """The upstream answered that it no longer holds what was asked for."""

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
