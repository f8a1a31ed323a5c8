"""Incremental splitting of an event stream into events."""

from dataclasses import dataclass

ID_FIELD = b"id:"


@dataclass(frozen=True)
class StreamEvent:
    """One complete event.

    Attributes:
        raw: Bytes of the event, with the empty line that ends it.
        event_id: Value of the `id` field; `None` if there is none.
    """

    raw: bytes
    event_id: str | None


def _event_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None


class EventSplitter:
    """Buffers the bytes of an event until its end has arrived."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes, and return the events that they complete."""
        received = self.buffer + data
        events: list[StreamEvent] = []
        start = 0
        while (end := _end_of_event(received, start)) > 0:
            raw = received[start:end]
            events.append(StreamEvent(raw, _event_id(raw)))
            start = end
        self.buffer = received[start:]
        return events


def _end_of_event(received: bytes, start: int) -> int:
    """Return the position after the next empty line, or 0 if there is none."""
    ends = [
        index + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (index := received.find(delimiter, start)) >= 0
    ]
    return min(ends, default=0)
