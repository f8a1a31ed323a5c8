"""Whole events of an event stream, cut from the bytes as they arrive."""

from dataclasses import dataclass

ID_FIELD = b"id:"


@dataclass(frozen=True)
class StreamEvent:
    """One whole event.

    Attributes:
        raw: Its bytes, with the empty line that ends it.
        event_id: Its id; `None` if it has none.
    """

    raw: bytes
    event_id: str | None


def _event_id(raw: bytes) -> str | None:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None


class EventSplitter:
    """Keeps the bytes of an event until its end has arrived."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole with these bytes."""
        text = self.rest + data
        events: list[StreamEvent] = []
        start = 0
        while (end := _end_of_event(text, start)) > 0:
            raw = text[start:end]
            events.append(StreamEvent(raw, _event_id(raw)))
            start = end
        self.rest = text[start:]
        return events


def _end_of_event(text: bytes, start: int) -> int:
    """Return the position after the next empty line, or 0 if there is none."""
    found = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := text.find(mark, start)) >= 0
    ]
    return min(found, default=0)
