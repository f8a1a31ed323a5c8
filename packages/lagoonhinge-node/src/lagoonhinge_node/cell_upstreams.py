"""The upstreams that are assigned to a node's cell."""

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.cells import owning_cell
from lagoonhinge_core.config import ModelService, UpstreamConfig
from lagoonhinge_core.sections import ConfigSection, MembersSection, NodeSection


def cell_engines(board: Blackboard) -> dict[str, UpstreamConfig]:
    """Return the model engines of this node's zone and cell, by name."""
    config = board.read(ConfigSection).config
    zone = board.read(NodeSection).zone
    members = board.find(MembersSection())
    return {
        name: upstream
        for name, upstream in config.upstreams.items()
        if upstream.zone == zone
        and isinstance(config.services[upstream.service], ModelService)
        and owning_cell(name, members.cell_count) == members.cell_number
    }
