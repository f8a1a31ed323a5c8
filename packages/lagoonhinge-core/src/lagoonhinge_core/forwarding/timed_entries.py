"""Entries with a time, in the order of that time, of which old ones are dropped."""

from typing import TypeVar

from lagoonhinge_core.forwarding.crash_limits import MAX_ENTRIES

Key = TypeVar("Key")


def put_last(entries: dict[Key, float], key: Key, at_s: float) -> None:
    """Put an entry last, also if it has another time so far."""
    entries.pop(key, None)
    entries[key] = at_s


def drop_old(entries: dict[Key, float], oldest_s: float) -> None:
    """Drop entries before a time, and the oldest of too many."""
    while entries:
        oldest, at_s = next(iter(entries.items()))
        if at_s >= oldest_s and len(entries) <= MAX_ENTRIES:
            break
        del entries[oldest]
