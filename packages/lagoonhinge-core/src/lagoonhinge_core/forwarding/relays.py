"""Nodes that serve the requests of a node that reaches no upstream.

Load pattern: some nodes, or most of a zone, are partitioned from all upstreams, while
callers, the store and the other nodes still reach them.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

MAX_RELAYS = 3  # nodes that are asked for one request; each may hang while connecting


@dataclass(frozen=True)
class RelayNode:
    """Another node, as far as this one knows it.

    Attributes:
        name: Its name.
        zone: Availability zone.
        is_heard: Whether its updates arrive.
        is_cut_off: Whether it reaches no upstream either.
    """

    name: str
    zone: str
    is_heard: bool
    is_cut_off: bool = False


def relay_candidates(
    nodes: Iterable[RelayNode], own_zone: str, cell: Collection[str]
) -> tuple[str, ...]:
    """Return the nodes that may serve requests of a node that reaches no upstream.

    These are nodes of its own zone, unless they would have more than twice their usual
    load; then nodes of all zones. Nodes outside of the cell send it no updates, so they
    are asked on the chance that they serve.

    Args:
        nodes: The other nodes.
        own_zone: Zone of the node.
        cell: Zones whose nodes send it updates.
    """
    known = tuple(nodes)
    serving = [n for n in known if n.is_heard and not n.is_cut_off]
    near = tuple(n.name for n in serving if n.zone == own_zone)
    cut_off = 1 + sum(n.is_cut_off and n.zone == own_zone for n in known)
    if len(near) >= cut_off:
        return near
    unknown = (n.name for n in known if n.zone not in cell)
    return (*(n.name for n in serving), *unknown)
