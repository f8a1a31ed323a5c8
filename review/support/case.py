"""Runs a case and turns its outcome into the exit status."""

from asyncio import run
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path
from tempfile import TemporaryDirectory
from traceback import format_exc

from support.nodes import Node
from support.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, play: Callable[[Path, Record, list[Node]], Awaitable[int]]
) -> int:
    """Play a case; return its exit status.

    Args:
        folder: Folder of the case, for the record.
        play: Plays the case with a temporary folder, the record and a list to which it
            adds its nodes; returns the exit status.
    """
    record, nodes = Record(folder / "record.txt"), list[Node]()

    async def play_and_end(temporary: Path) -> int:
        try:
            return await play(temporary, record, nodes)
        finally:
            for node in nodes:
                node.end()
                node.record_errors()

    with TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = run(play_and_end(Path(temporary)))
        except Exception:
            record.write("the case could not run", error=format_exc())
            print(format_exc())
            status = NOT_RUN
    record.write("exit", status=status, trouble=HAS_TROUBLE)
    return status
