"""Printing of reports, for people or as JSON."""

from typing import Any

from msgspec import json


def print_json(report: Any) -> None:
    """Print a report as indented JSON."""
    print(json.format(json.encode(report)).decode())


def print_table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print rows under their heads in columns."""
    table = [heads, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(heads))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
