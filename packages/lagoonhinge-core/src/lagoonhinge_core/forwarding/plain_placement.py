"""Which upstream of a plain service takes a call."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerChoice:
    """An upstream that may take a call.

    Attributes:
        instance: The upstream.
        requests: Open requests of all nodes there.
        slots: Requests that it serves at once.
        same_zone: Whether it is in the node's availability zone.
        suspect: Whether sends to it failed lately.
    """

    instance: str
    requests: int
    slots: int
    same_zone: bool
    suspect: bool = False


def place_call(choices: tuple[ServerChoice, ...], turn: int) -> str | None:
    """Return the upstream with the most room, or `None` if there is none.

    Args:
        choices: Upstreams that may take the call.
        turn: Number of the call, which breaks ties evenly.
    """
    if not choices:
        return None
    count = len(choices)
    ranked = min(
        range(count),
        key=lambda index: (
            choices[index].suspect,
            choices[index].requests // max(1, choices[index].slots),
            choices[index].requests,
            not choices[index].same_zone,
            (index - turn) % count,
        ),
    )
    return choices[ranked].instance
