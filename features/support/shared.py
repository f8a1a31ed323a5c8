"""Fleets that several scenarios of a feature use, because they leave no trace."""

from collections.abc import Callable, Hashable

from features.support.fleet import Fleet

_FLEETS: dict[Hashable, Fleet] = {}


def shared_fleet(key: Hashable, build: Callable[[], Fleet]) -> Fleet:
    """Return the fleet of this key, built at its first use."""
    if key not in _FLEETS:
        _FLEETS[key] = build()
    return _FLEETS[key]


def stop_shared_fleets() -> None:
    """End every shared fleet."""
    while _FLEETS:
        _, fleet = _FLEETS.popitem()
        fleet.stop()
