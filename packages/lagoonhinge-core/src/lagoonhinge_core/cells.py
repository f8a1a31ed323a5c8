"""Cells: small groups of nodes of one zone, agreed on without any message.

Every node that knows the same VM names computes the same cells, by rendezvous hashing
with a cap on a cell's size. A change of one name moves few of the others.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from math import ceil

MAX_CELL_NODES = 8
SCORE_BYTES = 8
MAX_REMEMBERED = 8_192


def _score(name: str, cell: int) -> int:
    text = f"{name}|{cell}"
    return int.from_bytes(blake2b(text.encode(), digest_size=SCORE_BYTES).digest())


def count_cells(nodes: int) -> int:
    """Return the number of cells for a zone of `nodes` nodes, at least one."""
    return max(1, ceil(nodes / MAX_CELL_NODES))


def assign_cells(vms: Iterable[str]) -> dict[str, int]:
    """Return the cell of each VM of one zone; none has more than the cap."""
    names = sorted(set(vms))
    cells = range(count_cells(len(names)))
    wishes = sorted(
        ((_score(name, cell), name, cell) for name in names for cell in cells),
        reverse=True,
    )
    assigned: dict[str, int] = {}
    sizes = dict.fromkeys(cells, 0)
    for _, name, cell in wishes:
        if name not in assigned and sizes[cell] < MAX_CELL_NODES:
            assigned[name] = cell
            sizes[cell] += 1
    return assigned


@lru_cache(maxsize=MAX_REMEMBERED)
def owning_cell(upstream: str, cell_count: int) -> int:
    """Return the cell of a zone that an upstream belongs to."""
    return max(range(cell_count), key=lambda cell: _score(upstream, cell))


def owning_vms(name: str, vms: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` VMs among the given ones that have the duty `name`."""
    ranked = sorted(
        vms, key=lambda vm: blake2b(f"{name}|{vm}".encode()).digest(), reverse=True
    )
    return tuple(ranked[:count])
