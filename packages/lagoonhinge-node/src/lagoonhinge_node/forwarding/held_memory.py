"""Memory set aside on engines for one send: taken, kept while in use, and freed.

The lease is short, so that memory is free soon after its node has died, and renewed
for as long as the send lasts.
"""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Iterable

from returns.result import Failure, Success

from lagoonhinge_core.forwarding.messages import EngineMemory
from lagoonhinge_core.forwarding.prompt_placement import MemoryReservation
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

LEASE_S = 3.5  # under the 4 s after which unused memory counts as lost
RENEW_S = 1.0  # two renewals may fail
RELEASE_TRIES = 3
RELEASE_PAUSE_S = 0.3


class HeldMemory:
    """Memory set aside for one send.

    Args:
        state: What all requests share.
        orders: Gives the orders to engines.
        name: Name of the tickets; unique to this send.
    """

    def __init__(self, state: ServingState, orders: EngineMemory, name: str):
        self.state = state
        self.orders = orders
        self.name = name
        self.held: list[tuple[Upstream, int]] = []
        self.renewing: Task[None] | None = None
        self.log_part = PartLogger("memory")

    async def take(self, holdings: Iterable[MemoryReservation]) -> bool:
        """Set memory aside on all engines; frees everything again if one refuses."""
        known = self.state.directory.by_instance
        for holding in holdings:
            upstream = known.get(holding.instance)
            if upstream is None:
                return False
            # Counted before the answer, which may be lost.
            self.held.append((upstream, holding.tokens))
            self.state.load.add_reserved(upstream.instance, holding.tokens)
        results = await gather(*(self._reserve(*entry) for entry in self.held))
        if not all(results):
            return False
        self.renewing = create_task(self._renew())
        return True

    def free(self) -> None:
        """Free everything; repeated in the background until confirmed."""
        if self.renewing is not None:
            self.renewing.cancel()
        for upstream, tokens in self.held:
            self.state.load.add_reserved(upstream.instance, -tokens)
            self.state.run_in_background(self._release(upstream))
        self.held = []

    async def _reserve(self, upstream: Upstream, tokens: int) -> bool:
        match await self.orders.reserve(upstream.address(), self.name, tokens, LEASE_S):
            case Success(_):
                return True
            case Failure(reason):
                self.log_part.info(
                    "Memory was refused.",
                    upstream=upstream.instance,
                    ticket=self.name,
                    tokens=tokens,
                    reason=reason,
                )
                return False
        raise AssertionError("not a result")

    async def _renew(self) -> None:
        while True:
            await sleep(RENEW_S)
            await gather(*(self._reserve(*entry) for entry in self.held))

    async def _release(self, upstream: Upstream) -> None:
        for _ in range(RELEASE_TRIES):
            match await self.orders.release(upstream.address(), self.name):
                case Success(_):
                    return
                case Failure(reason):
                    self.log_part.info(
                        "A release failed.",
                        upstream=upstream.instance,
                        ticket=self.name,
                        reason=reason,
                    )
            await sleep(RELEASE_PAUSE_S)
        self.log_part.warning(
            "Memory is left to expire.", upstream=upstream.instance, ticket=self.name
        )
