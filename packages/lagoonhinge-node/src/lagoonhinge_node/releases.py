"""Releases of what engines hold, repeated until each is confirmed."""

from asyncio import sleep
from dataclasses import dataclass

from mode import Service
from returns.result import Success

from lagoonhinge_core.ports import EngineClient
from lagoonhinge_node.logs import PartLogger

RELEASE_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


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
    """Frees holdings outside of the request's own task."""

    def __init__(self, engines: EngineClient):
        super().__init__()
        self.engines = engines
        self.log_part = PartLogger("release")
        self.pending: set[Release] = set()

    def submit(self, release: Release) -> None:
        """Free a holding; returns at once."""
        if release not in self.pending:
            self.pending.add(release)
            self.add_future(self._repeat(release))

    async def _repeat(self, release: Release) -> None:
        pause_s = FIRST_PAUSE_S
        while self.loop.time() < release.until_monotonic_s:
            answer = await self.engines.release(
                release.url, release.kind, release.name, RELEASE_TIMEOUT_S
            )
            if isinstance(answer, Success):
                break
            await sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        else:
            self.log_part.warning(f"{release.kind} {release.name} was left to expire.")
        self.pending.discard(release)
