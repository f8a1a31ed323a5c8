"""Cells: the nodes that share the engines of one part of a large fleet.

Load updates between all nodes of a large fleet are too many to be sent often, and
nodes with old ones place prompts on the same engines. Nodes of a cell tell each other
each change, and place prompts on the engines of their cell as long as these have
capacity. Of other cells they know a summary, which is older.

A cell is an availability zone, so a partition cuts no cell in two. If zones have few
engines, all zones form one cell, since a long prompt is prefilled by many engines and
bursts are spread better over more of them.
"""

from collections.abc import Mapping

from lagoonhinge_core.forwarding.engine_time import MAX_HELPERS

# Least mean number of engines of a cell: half of those that may prefill one prompt.
MIN_CELL_ENGINES = (MAX_HELPERS + 1) / 2


def cell_zones(own_zone: str, engines_by_zone: Mapping[str, int]) -> frozenset[str]:
    """Return the zones that form one cell with a node's own zone.

    Args:
        own_zone: Zone of the node.
        engines_by_zone: Listed engines of each zone that has any.
    """
    zones = frozenset({*engines_by_zone, own_zone})
    if sum(engines_by_zone.values()) < MIN_CELL_ENGINES * len(zones):
        return zones
    return frozenset((own_zone,))
