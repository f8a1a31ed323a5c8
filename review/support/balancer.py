"""Stand-in for the platform's balancer, which chooses a node for each new channel."""

from asyncio import gather, sleep
from itertools import count

from support.nodes import Node

CHECK_INTERVAL_S = 1.0
MISSES = 2  # in a row, after which a node gets no new channels


class Balancer:
    """Asks each node once a second whether it is ready.

    Args:
        nodes: The nodes of one zone.
    """

    def __init__(self, nodes: list[Node]):
        self.nodes = nodes
        self.misses = dict.fromkeys(nodes, 0)
        self.numbers = count()

    async def watch(self) -> None:
        """Check the nodes until cancelled."""
        while True:
            await gather(*(self._check(node) for node in self.nodes))
            await sleep(CHECK_INTERVAL_S)

    async def _check(self, node: Node) -> None:
        self.misses[node] = 0 if await node.is_ready() else self.misses[node] + 1

    def choose(self) -> Node:
        """Return the node for a new channel."""
        rotation = [node for node in self.nodes if self.misses[node] < MISSES]
        if len(rotation) < len(self.nodes) / 2:
            rotation = self.nodes
        return rotation[next(self.numbers) % len(rotation)]
