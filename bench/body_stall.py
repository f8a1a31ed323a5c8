"""How long the node's event loop stands still for the body of a very long prompt."""

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

TICK_S = 0.001


@command(name="body-stall")
@dataclass
class BodyStall:
    """Time each step of a long body on the loop, and the loop's stall beside a thread.

    Bodies have 4 bytes a token.
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
            direct = [self._time(step) for _ in range(self.repetitions)]
            beside = [await self._stall_beside(step) for _ in range(self.repetitions)]
            print(
                f"{name}: {median(direct) * 1e3:.1f} ms on the loop "
                f"(worst {max(direct) * 1e3:.1f}), in a thread the loop stalls "
                f"{median(beside) * 1e3:.1f} ms (worst {max(beside) * 1e3:.1f})"
            )

    def _time(self, step) -> float:
        started = perf_counter()
        step()
        return perf_counter() - started

    async def _stall_beside(self, step) -> float:
        worst = 0.0

        async def tick():
            nonlocal worst
            loop = get_running_loop()
            while True:
                before = loop.time()
                await sleep(TICK_S)
                worst = max(worst, loop.time() - before - TICK_S)

        ticker = create_task(tick())
        await sleep(10 * TICK_S)
        worst = 0.0
        await to_thread(step)
        await sleep(10 * TICK_S)
        ticker.cancel()
        return worst


if __name__ == "__main__":
    parse(BodyStall)()
