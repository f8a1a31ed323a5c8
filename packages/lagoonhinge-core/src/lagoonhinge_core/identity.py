"""Identity of nodes, attempts and their owners across restarts."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class NodeId:
    """One incarnation of a node.

    Attributes:
        vm: Name of the VM.
        incarnation: Start time in milliseconds since the epoch; greater at each start.
    """

    vm: str
    incarnation: int

    def __str__(self) -> str:
        """Return the identity in the form used on the wire."""
        return f"{self.vm}/{self.incarnation}"


def parse_node_id(text: str) -> NodeId:
    """Parse a node identity written by `str`.

    Raises:
        ValueError: The text is not a node identity.
    """
    vm, _, incarnation = text.rpartition("/")
    if not vm or not incarnation.isdigit():
        raise ValueError(f"{text!r} is not a node identity")
    return NodeId(vm, int(incarnation))
