"""Placement of requests on the upstreams of a plain service."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UpstreamCandidate:
    """An upstream that may take a request.

    Attributes:
        instance: The upstream.
        requests: Open requests of all nodes on it.
        slots: Requests that it serves concurrently.
        same_zone: Whether it is in the node's availability zone.
        recently_failed: Whether recent attempts at it failed.
    """

    instance: str
    requests: int
    slots: int
    same_zone: bool
    recently_failed: bool = False


def place_request(
    candidates: tuple[UpstreamCandidate, ...], request_number: int
) -> str | None:
    """Return the least loaded upstream, or `None` if there are no candidates.

    Args:
        candidates: Upstreams that may take the request.
        request_number: Number of the request; rotates among equal candidates.
    """
    if not candidates:
        return None
    count = len(candidates)
    selected = min(
        range(count),
        key=lambda index: (
            candidates[index].recently_failed,
            candidates[index].requests // max(1, candidates[index].slots),
            candidates[index].requests,
            not candidates[index].same_zone,
            (index - request_number) % count,
        ),
    )
    return candidates[selected].instance
