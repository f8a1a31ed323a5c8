"""Loop in which a controller watches one list of the platform's store."""

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

FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5  # a quarter of the time within which a change is in force
RETRY_JITTER = 0.5  # largest random reduction of a pause, as a share

UpdateT = TypeVar("UpdateT", ConfigUpdate, ListUpdate[Upstream], ListUpdate[NodeEntry])
# An update, or `None` if the wait for it was interrupted.
StoreRead: TypeAlias = Result[UpdateT, StoreFault | HistoryLost] | None


class Backoff:
    """Exponential backoff with jitter after failed calls to the store.

    Args:
        serving: Source of random numbers.
        log_part: Logs the first failure and the recovery.
    """

    def __init__(self, serving: ServingState, log_part: PartLogger):
        self.serving = serving
        self.log_part = log_part
        self.failures = 0

    async def wait_after_failure(self, fault: StoreFault) -> None:
        """Count a failed call and wait before the next one."""
        self.failures += 1
        if self.failures == 1:
            self.log_part.warning(
                "A call to the store failed; retrying.", reason=fault.reason
            )
        pause_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** (self.failures - 1))
        await sleep(pause_s * (1 - RETRY_JITTER * self.serving.random.random()))

    def record_success(self) -> None:
        """Reset the backoff after an answer."""
        if self.failures:
            self.log_part.info("The store answers again.", failures=self.failures)
        self.failures = 0


@dataclass(frozen=True)
class WatchLoop(Generic[UpdateT]):
    """Reads one list of the store repeatedly and applies its changes.

    Attributes:
        read: Read everything, or the changes after a version.
        apply: Apply an update, given the version that it follows.
        on_fault: Called when a call to the store fails.
        pause_s: Pause after a change, so that the next call reads several, in seconds.
    """

    read: Callable[[int | None], Awaitable[StoreRead[UpdateT]]]
    apply: Callable[[UpdateT, int | None], None]
    on_fault: Callable[[], None]
    pause_s: float

    async def run(self, service: Service, backoff: Backoff) -> None:
        """Read and apply changes until the service stops."""
        after: int | None = None
        while not service.should_stop:
            match await self.read(after):
                case None:
                    continue
                case Success(update):
                    backoff.record_success()
                    self.apply(update, after)
                    if update.version != after:
                        await sleep(self.pause_s)
                    after = update.version
                case Failure(HistoryLost()):
                    backoff.log_part.info(
                        "The store no longer has the history; reading all rows."
                    )
                    after = None
                case Failure(fault):
                    self.on_fault()
                    await backoff.wait_after_failure(fault)
