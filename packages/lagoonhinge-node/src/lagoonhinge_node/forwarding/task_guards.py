"""Guards that keep a node running when one of its tasks has an unexpected error.

An error that leaves a task of a service ends the whole process, with all its requests.
"""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import TypeVar

from mode import Service

from lagoonhinge_node.logs import PartLogger

RESTART_PAUSE_S = 0.5  # a few calls to the store

ServiceT = TypeVar("ServiceT", bound=Service)
LOG_PART = PartLogger("node")


def log_unexpected(task: str, error: Exception) -> None:
    """Log an error that no code expects, with its place."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = (
        "" if trace is None else f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
    )
    LOG_PART.error("An unexpected error.", task=task, error=repr(error), place=place)


def guarded_timer(
    work: Callable[[ServiceT], Awaitable[None]],
) -> Callable[[ServiceT], Awaitable[None]]:
    """Let a timer run again at its next interval after an unexpected error."""

    @wraps(work)
    async def run(service: ServiceT) -> None:
        try:
            await work(service)
        except Exception as error:
            log_unexpected(work.__qualname__, error)

    return run


def guarded_task(
    work: Callable[[ServiceT], Awaitable[None]],
) -> Callable[[ServiceT], Awaitable[None]]:
    """Start a task again after an unexpected error."""

    @wraps(work)
    async def run(service: ServiceT) -> None:
        while not service.should_stop:
            try:
                return await work(service)
            except Exception as error:
                log_unexpected(work.__qualname__, error)
            await sleep(RESTART_PAUSE_S)

    return run
