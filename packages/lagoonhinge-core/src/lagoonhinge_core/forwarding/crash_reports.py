"""What nodes tell each other of upstreams that ended under requests."""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.upstreams import UpstreamRun


@dataclass(frozen=True)
class Crash:
    """An upstream that ended while it ran a request.

    Attributes:
        cause: A possible cause in the request.
        instance: The upstream.
        started_ms: Start of its run, in milliseconds since the epoch, as an upstream
            may start again under its name; 0 if it or a peer does not report it.
    """

    cause: str
    instance: str
    started_ms: int = 0

    def run(self) -> UpstreamRun:
        """Return the run of the upstream that ended."""
        return UpstreamRun(self.instance, self.started_ms)


@dataclass(frozen=True)
class CrashReport:
    """A crash that a node tells its peers.

    Attributes:
        crash: The crash.
        age_s: Time since the upstream ended, in seconds.
        outlived: Whether another upstream answered soon after.
    """

    crash: Crash
    age_s: float
    outlived: bool = False


@dataclass(frozen=True)
class AnswerReport:
    """An answer to a request, which tells peers what did not cause earlier crashes.

    Attributes:
        cause: What the request had in it.
        age_s: Time since the answer, in seconds.
    """

    cause: str
    age_s: float
