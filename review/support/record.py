"""The record of a case: what was sent, answered and run."""

from pathlib import Path
from time import monotonic
from typing import Any


class Record:
    """Writes `record.txt`, one line for each event.

    Args:
        path: The file.
    """

    def __init__(self, path: Path):
        self.started_s = monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the time since the start of the case, in seconds."""
        return monotonic() - self.started_s

    def write(self, event: str, **inputs: Any) -> None:
        """Write one event with its time."""
        text = " ".join(f"{name}={value}" for name, value in inputs.items())
        self.file.write(f"{self.now_s():8.3f} s  {event}  {text}\n")
        self.file.flush()
