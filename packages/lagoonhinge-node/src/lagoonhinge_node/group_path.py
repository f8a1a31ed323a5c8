"""Prompts larger than one engine's memory, run by a group of engines."""

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection, NodeSection


class GroupPath:
    """Decides which requests need a group."""

    def __init__(self, board: Blackboard):
        self.board = board

    def needs_group(self, request: ModelRequest) -> bool:
        """Return whether no single engine of this zone can hold the request."""
        config = self.board.read(ConfigSection).config
        zone = self.board.read(NodeSection).zone
        sizes = [
            upstream.kv_tokens
            for upstream in config.upstreams.values()
            if upstream.service == request.service and upstream.zone == zone
        ]
        return bool(sizes) and request.estimate.total() > max(sizes)
