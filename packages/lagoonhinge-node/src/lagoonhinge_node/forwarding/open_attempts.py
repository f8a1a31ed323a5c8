"""Attempts of one request that are open at the same time.

When an upstream is silent, another attempt starts beside its own. The attempt that
first has a part of the answer forwards it, and the others are cancelled.
"""

from asyncio import Queue, Task, TimerHandle, create_task, gather, get_running_loop
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeAlias

from returns.result import Result

from lagoonhinge_core.forwarding.attempts import AttemptFailure
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice

AttemptResult: TypeAlias = Result[None, AttemptFailure]


@dataclass(frozen=True)
class UpstreamSilent:
    """The upstream of an open attempt is silent, and another one may take over.

    Attributes:
        choice: The upstreams of the attempt.
        silent_s: Time without an answer or event, in seconds.
        is_first: Whether this silence was not reported before.
    """

    choice: UpstreamChoice
    silent_s: float
    is_first: bool


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        choice: The upstreams of the attempt.
        result: Success once the answer is forwarded, else the failure.
    """

    choice: UpstreamChoice
    result: AttemptResult


@dataclass(frozen=True)
class HedgeDue:
    """An attempt takes longer than usual.

    Attributes:
        choice: The upstreams of the attempt.
    """

    choice: UpstreamChoice


class OpenAttempts:
    """The open attempts of one request.

    Args:
        record_superseded: Called for each attempt that is cancelled because another
            one continues the answer, with its upstreams and whether they were silent.
    """

    def __init__(self, record_superseded: Callable[[UpstreamChoice, bool], None]):
        self.record_superseded = record_superseded
        # By the upstream's instance, oldest first; each has at most one attempt.
        self.tasks: dict[str, Task[AttemptResult]] = {}
        self.choices: dict[str, UpstreamChoice] = {}
        self.superseded: list[Task[AttemptResult]] = []
        self.silent: set[str] = set()
        self.updates: Queue[UpstreamSilent | HedgeDue | Task[AttemptResult]] = Queue()
        self.is_answered = False  # in part
        self.hedge_timer: TimerHandle | None = None

    def is_empty(self) -> bool:
        """Return whether no attempt is open."""
        return not self.tasks

    def start(
        self, choice: UpstreamChoice, work: Coroutine[Any, Any, AttemptResult]
    ) -> None:
        """Start an attempt."""
        instance = choice.upstream.instance
        self.choices[instance] = choice
        task = create_task(work, name=instance)
        self.tasks[instance] = task
        task.add_done_callback(self.updates.put_nowait)

    def hedge_after(self, choice: UpstreamChoice, delay_s: float) -> None:
        """Report an attempt that has no part of the answer after a time."""
        loop = get_running_loop()
        due = HedgeDue(choice)
        self.hedge_timer = loop.call_later(delay_s, self.updates.put_nowait, due)

    def all_silent(self) -> bool:
        """Return whether each open attempt, if any, is at a silent upstream."""
        return self.tasks.keys() <= self.silent

    def is_newest(self, choice: UpstreamChoice) -> bool:
        """Return whether an attempt is the last one started of those open."""
        return next(reversed(self.tasks), None) == choice.upstream.instance

    def report_silence(self, choice: UpstreamChoice, silent_s: float) -> None:
        """Report that an upstream is silent and that another one may take over."""
        instance = choice.upstream.instance
        is_first = instance not in self.silent
        self.silent.add(instance)
        self.updates.put_nowait(UpstreamSilent(choice, silent_s, is_first))

    def claim_answer(self, choice: UpstreamChoice) -> None:
        """Let one attempt continue the answer; cancel the others."""
        instance = choice.upstream.instance
        self.is_answered = True
        self.silent.discard(instance)
        for other in [name for name in self.tasks if name != instance]:
            task = self.tasks.pop(other)
            task.cancel()
            self.superseded.append(task)
            self.record_superseded(self.choices[other], other in self.silent)

    async def next_update(self) -> UpstreamSilent | HedgeDue | AttemptEnded:
        """Wait until an attempt ends, takes long, or its upstream is silent.

        Raises:
            ConnectionError: The caller's connection ended.
        """
        while True:
            update = await self.updates.get()
            if isinstance(update, UpstreamSilent):
                if update.choice.upstream.instance in self.silent:
                    return update
                continue
            if isinstance(update, HedgeDue):
                is_only = list(self.tasks) == [update.choice.upstream.instance]
                if is_only and not self.is_answered:
                    return update
                continue
            instance = update.get_name()
            if self.tasks.pop(instance, None) is not None:
                return AttemptEnded(self.choices[instance], update.result())

    async def close(self) -> None:
        """Cancel all open attempts and wait for their end."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
        tasks = (*self.tasks.values(), *self.superseded)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
