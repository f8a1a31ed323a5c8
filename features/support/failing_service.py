"""A service whose tasks have unexpected errors."""

from asyncio import sleep

from mode import Service

from lagoonhinge_node.forwarding.task_guards import guarded_task, guarded_timer


class FailingService(Service):
    """A service whose timer and task fail some times before they work."""

    def __init__(self, failures: int):
        super().__init__()
        self.left = {"timer": failures, "task": failures}
        self.worked = {"timer": 0, "task": 0}

    def _work(self, name: str) -> None:
        if self.left[name]:
            self.left[name] -= 1
            raise ValueError(f"{name} fails")
        self.worked[name] += 1

    @Service.timer(0.5)
    @guarded_timer
    async def run_timer(self) -> None:
        """Do the timer's work."""
        self._work("timer")

    @Service.task
    @guarded_task
    async def run_task(self) -> None:
        """Do the task's work."""
        self._work("task")
        while not self.should_stop:
            await sleep(1.0)
