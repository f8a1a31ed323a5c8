"""Releases of holdings of engines, retried until each is confirmed."""

from asyncio import Future, Semaphore, sleep, wait
from dataclasses import dataclass

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.ports import EngineClient
from lagoonhinge_core.upstream_errors import Silent
from lagoonhinge_node.logs import PartLogger

RELEASE_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_CONCURRENT_CALLS = 32
DRAIN_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class Release:
    """A holding to free on an engine.

    Attributes:
        url: Address of the engine.
        kind: `stream`, `reservation` or `export`.
        name: Name under which the engine holds it.
        deadline_monotonic_s: When to stop retrying; the engine's own expiry frees it.
    """

    url: str
    kind: str
    name: str
    deadline_monotonic_s: float


class ReleaseQueue(Service):
    """Frees holdings in tasks apart from those of the requests.

    A stop of the node waits for pending releases, up to a limit. Holdings that are
    left then expire or are released by another node's reaper.
    """

    def __init__(self, engines: EngineClient):
        super().__init__()
        self.engines = engines
        self.log_part = PartLogger("release")
        self.pending: dict[Release, Future[None]] = {}
        self.call_slots = Semaphore(MAX_CONCURRENT_CALLS)

    def submit(self, release: Release) -> None:
        """Start to free a holding, without waiting for it."""
        if not self.is_pending(release.url, release.kind, release.name):
            self.pending[release] = self.add_future(self._retry_until_released(release))

    def is_pending(self, url: str, kind: str, name: str) -> bool:
        """Return whether the release of a holding is pending."""
        key = (url, kind, name)
        return any((r.url, r.kind, r.name) == key for r in self.pending)

    async def on_stop(self) -> None:
        """Wait for the pending releases."""
        await self.drain(DRAIN_TIMEOUT_S)

    async def drain(self, timeout_s: float) -> None:
        """Wait until no release is pending, at most for `timeout_s`."""
        if self.pending:
            await wait(tuple(self.pending.values()), timeout=timeout_s)
        for release in self.pending:
            self.log_part.warning(
                f"Stopped before {release.kind} {release.name} was confirmed free."
            )

    async def _retry_until_released(self, release: Release) -> None:
        backoff_s = MIN_BACKOFF_S
        try:
            while self.loop.time() < release.deadline_monotonic_s:
                if await self._release(release):
                    return
                await sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            self.log_part.warning(
                f"Release of {release.kind} {release.name} was not confirmed;"
                " it is left to expire."
            )
        finally:
            self.pending.pop(release, None)

    async def _release(self, release: Release) -> bool:
        async with self.call_slots:
            answer = await self.engines.release(
                release.url, release.kind, release.name, RELEASE_TIMEOUT_S
            )
        match answer:
            case Success(_):
                return True
            case Failure(Silent()):
                # The pooled connection may be dead while new ones work.
                await self.engines.drop_connections(release.url)
        return False
