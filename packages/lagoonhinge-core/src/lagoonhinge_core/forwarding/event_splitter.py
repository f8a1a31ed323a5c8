"""Incremental splitting of an event stream into events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 256 << 10  # a thousand times the usual event
# Comments and repeated events in a row, which upstreams send some of each second while
# they have nothing new; tiny ones cost far more than their bytes.
MAX_STALE_EVENTS = 4096
ID_FIELD = b"id:"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_END_BYTES = 4


@dataclass(frozen=True)
class CompleteEvents:
    """Consecutive complete events.

    Attributes:
        raw: Bytes of the events, with the empty lines that end them.
        ids: Values of their `id` fields.
        count: Number of events, comments included.
    """

    raw: bytes
    ids: tuple[str, ...]
    count: int = 0


NO_EVENTS = CompleteEvents(b"", ())


class EventSplitter:
    """Buffers the bytes of an event until its end has arrived."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> CompleteEvents:
        """Add bytes, and return the events that they complete."""
        # The end of an event may have begun to arrive before.
        search_from = max(0, len(self.buffer) - MAX_END_BYTES + 1)
        self.buffer += data
        end = max(_last_end(self.buffer, text, search_from) for text in EVENT_ENDS)
        if not end:
            return NO_EVENTS
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        ids = [
            line[len(ID_FIELD) :].strip().decode("latin-1")
            for line in raw.splitlines()
            if line.startswith(ID_FIELD)
        ]
        count = sum(raw.count(text) for text in EVENT_ENDS)
        return CompleteEvents(raw, tuple(ids), count)


def may_follow(event_id: str, last_id: str) -> bool:
    """Return whether an event may come after the one with the last ID.

    IDs increase. Those that aren't numbers can only be told from the last one.
    """
    ids = (event_id, last_id)
    if all(text.isascii() and text.isdigit() for text in ids):
        # Numbers of any length, which `int` would refuse.
        number, last = (text.lstrip("0") for text in ids)
        return (len(number), number) > (len(last), last)
    return event_id != last_id


def has_fields(events: bytes) -> bool:
    """Return whether events have more than comments."""
    return any(line and not line.startswith(b":") for line in events.splitlines())


def _last_end(received: bytearray, text: bytes, start: int) -> int:
    """Return the position after the last occurrence of a text, or 0 without one."""
    index = received.rfind(text, start)
    return index + len(text) if index >= 0 else 0
