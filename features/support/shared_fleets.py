"""Fleets shared by scenarios that don't change them."""

from collections.abc import Callable, Hashable

from features.support.fleet import Fleet

_FLEETS: dict[Hashable, Fleet] = {}


def shared_fleet(key: Hashable, build: Callable[[], Fleet]) -> Fleet:
    """Return the fleet with this key; build it at the first use."""
    if key not in _FLEETS:
        _FLEETS[key] = build()
    return _FLEETS[key]


def stop_shared_fleets() -> None:
    """Stop every shared fleet."""
    while _FLEETS:
        _, fleet = _FLEETS.popitem()
        fleet.stop()
