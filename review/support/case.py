"""Runs a case and turns its outcome into the exit status."""

from asyncio import CancelledError, current_task, get_running_loop, run
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path
from signal import SIGTERM
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
        task = current_task()
        assert task is not None
        # Ends the nodes also if the case takes too long.
        get_running_loop().add_signal_handler(SIGTERM, task.cancel)
        try:
            return await play(temporary, record, nodes)
        finally:
            for node in nodes:
                node.end()
                node.record_errors()

    with TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = run(play_and_end(Path(temporary)))
        except (Exception, CancelledError):
            record.write("the case could not run", error=format_exc())
            print(format_exc())
            status = NOT_RUN
    record.write("exit", status=status, trouble=HAS_TROUBLE)
    return status
