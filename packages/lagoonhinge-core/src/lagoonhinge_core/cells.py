"""Cells: small groups of nodes of one zone, computed without coordination.

Nodes with the same list of VMs compute the same cells, by rendezvous hashing with a
limit on a cell's size. Adding or removing a VM moves few of the others.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from math import ceil

MAX_CELL_NODES = 8
SCORE_BYTES = 8
MAX_CACHED_OWNERS = 8_192


def _score(name: str, cell: int) -> int:
    text = f"{name}|{cell}"
    return int.from_bytes(blake2b(text.encode(), digest_size=SCORE_BYTES).digest())


def count_cells(nodes: int) -> int:
    """Return the number of cells for a zone of `nodes` nodes, at least one."""
    return max(1, ceil(nodes / MAX_CELL_NODES))


def assign_cells(vms: Iterable[str]) -> dict[str, int]:
    """Return the cell of each VM of one zone; none exceeds `MAX_CELL_NODES`."""
    names = sorted(set(vms))
    cells = range(count_cells(len(names)))
    scores = sorted(
        ((_score(name, cell), name, cell) for name in names for cell in cells),
        reverse=True,
    )
    assigned: dict[str, int] = {}
    sizes = dict.fromkeys(cells, 0)
    for _, name, cell in scores:
        if name not in assigned and sizes[cell] < MAX_CELL_NODES:
            assigned[name] = cell
            sizes[cell] += 1
    return assigned


@lru_cache(maxsize=MAX_CACHED_OWNERS)
def owning_cell(upstream: str, cell_count: int) -> int:
    """Return the cell of a zone that owns an upstream."""
    return max(range(cell_count), key=lambda cell: _score(upstream, cell))


def owning_vms(name: str, vms: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` VMs among the given ones that own `name`."""
    ranked = sorted(
        vms, key=lambda vm: blake2b(f"{name}|{vm}".encode()).digest(), reverse=True
    )
    return tuple(ranked[:count])
