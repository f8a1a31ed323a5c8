"""Print reports as tables or JSON."""

from typing import Any

from msgspec import json


def print_json(report: Any) -> None:
    """Print a report as indented JSON."""
    print(json.format(json.encode(report)).decode())


def print_table(headers: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print rows in aligned columns, under their headers."""
    table = [headers, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(headers))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
