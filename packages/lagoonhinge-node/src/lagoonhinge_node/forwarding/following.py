"""The loop in which a controller follows one list of the platform's store."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.site_store import (
    ConfigUpdate,
    HistoryLost,
    ListUpdate,
    NodeEntry,
    StoreFault,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5  # a quarter of the time within which a change is in force
RETRY_JITTER = 0.5

UpdateT = TypeVar("UpdateT", ConfigUpdate, ListUpdate[Upstream], ListUpdate[NodeEntry])
# An update, or `None` if the wait for it was ended.
StoreRead: TypeAlias = Result[UpdateT, StoreFault | HistoryLost] | None


class Backoff:
    """Pauses between calls to a store that does not answer.

    Args:
        state: For the random numbers.
        log_part: Tells when the store is lost and when it answers again.
    """

    def __init__(self, state: ServingState, log_part: PartLogger):
        self.serving = state
        self.log_part = log_part
        self.failures = 0

    async def failed(self, fault: StoreFault) -> None:
        """Wait before the next call."""
        self.failures += 1
        if self.failures == 1:
            self.log_part.warning("Lost the store.", reason=fault.reason)
        pause_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** (self.failures - 1))
        await sleep(pause_s * (1 - RETRY_JITTER * self.serving.random.random()))

    def answered(self) -> None:
        """Count an answer."""
        if self.failures:
            self.log_part.info("The store answers again.", failures=self.failures)
        self.failures = 0


@dataclass(frozen=True)
class Following(Generic[UpdateT]):
    """What is followed, and what is done with it.

    Attributes:
        read: Reads everything, or the changes after a version.
        take: Takes an update and the version that it comes after.
        note_fault: Called when the store does not answer.
        pause_s: Pause after a change, in which others may come, in seconds.
    """

    read: Callable[[int | None], Awaitable[StoreRead[UpdateT]]]
    take: Callable[[UpdateT, int | None], None]
    note_fault: Callable[[], None]
    pause_s: float

    async def run(self, service: Service, backoff: Backoff) -> None:
        """Follow until a service is to stop."""
        after: int | None = None
        while not service.should_stop:
            match await self.read(after):
                case None:
                    continue
                case Success(update):
                    backoff.answered()
                    self.take(update, after)
                    if update.version != after:
                        await sleep(self.pause_s)
                    after = update.version
                case Failure(HistoryLost()):
                    backoff.log_part.info("The history was lost; reading all.")
                    after = None
                case Failure(fault):
                    self.note_fault()
                    await backoff.failed(fault)
