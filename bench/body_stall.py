"""Stall of the node's event loop by the request body of a very long prompt."""

from asyncio import create_task, get_running_loop, run, sleep, to_thread
from dataclasses import dataclass
from statistics import median
from time import perf_counter
from typing import Annotated

from cappa import Arg, command, parse
from msgspec import json

from lagoonhinge_core.engine_messages import EngineCall
from lagoonhinge_core.poison import fingerprint
from lagoonhinge_http.wire import decode, encode
from lagoonhinge_node.caller_messages import CompletionBody

TICK_S = 0.001  # interval at which the stall of the event loop is sampled


@command(name="body-stall")
@dataclass
class BodyStall:
    """Time each step for a long body on the event loop and in a thread.

    In a thread, the stall of the event loop is timed. Bodies have 4 bytes per token.
    """

    tokens: Annotated[int, Arg(long=True)] = 1_000_000
    repetitions: Annotated[int, Arg(long=True)] = 9

    def __call__(self) -> None:
        """Run the measurement."""
        run(self.measure())

    async def measure(self) -> None:
        """Print the median and the worst of each step."""
        prompt = "Core strength record 4711, within bounds.\n" * (self.tokens // 11)
        prompt = prompt[: 4 * self.tokens]
        body = json.encode({"model": "compliance", "prompt": prompt})
        call = EngineCall("vm-1-1", "vm/1", "compliance", prompt, 256, 1, 10, 60.0)
        steps = {
            "decode": lambda: decode(body, CompletionBody),
            "count bytes": lambda: len(prompt.encode()),
            "encode for the engine": lambda: encode(call),
            "fingerprint": lambda: fingerprint("compliance", prompt),
        }
        for name, step in steps.items():
            durations_s = [self._duration_s(step) for _ in range(self.repetitions)]
            loop_stalls_s = [
                await self._loop_stall_s(step) for _ in range(self.repetitions)
            ]
            print(
                f"{name}: {median(durations_s) * 1e3:.1f} ms on the loop "
                f"(worst {max(durations_s) * 1e3:.1f}), in a thread the loop stalls "
                f"{median(loop_stalls_s) * 1e3:.1f} ms "
                f"(worst {max(loop_stalls_s) * 1e3:.1f})"
            )

    def _duration_s(self, step) -> float:
        started_s = perf_counter()
        step()
        return perf_counter() - started_s

    async def _loop_stall_s(self, step) -> float:
        max_stall_s = 0.0

        async def tick():
            nonlocal max_stall_s
            loop = get_running_loop()
            while True:
                slept_from_s = loop.time()
                await sleep(TICK_S)
                max_stall_s = max(max_stall_s, loop.time() - slept_from_s - TICK_S)

        tick_task = create_task(tick())
        await sleep(10 * TICK_S)
        max_stall_s = 0.0
        await to_thread(step)
        await sleep(10 * TICK_S)
        tick_task.cancel()
        return max_stall_s


if __name__ == "__main__":
    parse(BodyStall)()
