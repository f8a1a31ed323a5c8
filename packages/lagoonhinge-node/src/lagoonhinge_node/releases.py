"""Releases of what engines hold, repeated until each is confirmed."""

from asyncio import Future, Semaphore, sleep, wait
from dataclasses import dataclass

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.ports import EngineClient
from lagoonhinge_core.upstream_errors import Silent
from lagoonhinge_node.logs import PartLogger

RELEASE_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
MAX_CALLS_AT_ONCE = 32
DRAIN_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class Release:
    """Something to be freed on an engine.

    Attributes:
        url: The engine.
        kind: `stream`, `reservation` or `export`.
        name: Name under which the engine holds it.
        until_monotonic_s: The engine's own expiry; no use to repeat beyond it.
    """

    url: str
    kind: str
    name: str
    until_monotonic_s: float


class Releaser(Service):
    """Frees holdings outside of the request's own task.

    A stop of the node waits for the releases that are still pending, up to a limit;
    what is left then ends by its expiry or is found by another node's reaper.
    """

    def __init__(self, engines: EngineClient):
        super().__init__()
        self.engines = engines
        self.log_part = PartLogger("release")
        self.pending: dict[Release, Future[None]] = {}
        self.calls = Semaphore(MAX_CALLS_AT_ONCE)

    def submit(self, release: Release) -> None:
        """Free a holding; returns at once."""
        if not self.is_pending(release.url, release.kind, release.name):
            self.pending[release] = self.add_future(self._repeat(release))

    def is_pending(self, url: str, kind: str, name: str) -> bool:
        """Return whether a holding is being freed already."""
        wanted = (url, kind, name)
        return any((r.url, r.kind, r.name) == wanted for r in self.pending)

    async def on_stop(self) -> None:
        """Finish the pending releases."""
        await self.drain(DRAIN_TIMEOUT_S)

    async def drain(self, timeout_s: float) -> None:
        """Wait until nothing is pending, or a time is over."""
        if self.pending:
            await wait(tuple(self.pending.values()), timeout=timeout_s)
        for release in self.pending:
            self.log_part.warning(
                f"Stopped before {release.kind} {release.name} was confirmed free."
            )

    async def _repeat(self, release: Release) -> None:
        pause_s = FIRST_PAUSE_S
        try:
            while self.loop.time() < release.until_monotonic_s:
                if await self._release(release):
                    return
                await sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
            self.log_part.warning(f"{release.kind} {release.name} was left to expire.")
        finally:
            self.pending.pop(release, None)

    async def _release(self, release: Release) -> bool:
        async with self.calls:
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
