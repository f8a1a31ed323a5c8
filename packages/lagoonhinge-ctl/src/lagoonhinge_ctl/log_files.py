"""Read the log files of nodes, which have one JSON object per line."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec import json

from lagoonhinge_core.decoding import DECODING_ERRORS

NO_REQUEST = "-"
COMMON_KEYS = frozenset(
    ("time_s", "node", "level", "part", "request_id", "message", "ago_s")
)


@dataclass(frozen=True)
class LogLine:
    """One line of a node's log.

    Attributes:
        at_s: When the event took place, in seconds since the epoch.
        node: Name of the node; the stem of the file name if the line has none.
        part: Component that logged the line.
        request_id: ID of the request that the line belongs to; `-` if none.
        message: What happened.
        inputs: The remaining keys of the line.
    """

    at_s: float
    node: str
    part: str
    request_id: str
    message: str
    inputs: dict[str, Any]


@dataclass(frozen=True)
class LogFiles:
    """Lines of several files, in order of time.

    Attributes:
        lines: The lines.
        unreadable: Number of lines that are not JSON log objects.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def read_logs(paths: Iterable[Path]) -> LogFiles:
    """Read log files and sort their lines by time.

    Raises:
        OSError: A file can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        for text in _read_lines(path):
            line = _parse_line(text, path.stem)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return LogFiles(tuple(lines), unreadable)


def _read_lines(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if text.strip():
                yield text


def _parse_line(text: str, file_name: str) -> LogLine | None:
    # Log collectors may prefix the object with a timestamp and a name.
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.decode(text[start:])
        return LogLine(
            float(fields["time_s"]) - float(fields.get("ago_s", 0.0)),
            str(fields.get("node", file_name)),
            str(fields["part"]),
            str(fields["request_id"]),
            str(fields["message"]),
            {name: value for name, value in fields.items() if name not in COMMON_KEYS},
        )
    except (*DECODING_ERRORS, KeyError, TypeError, ValueError, AttributeError):
        return None
