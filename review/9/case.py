"""A part of prompts crashes engines, and all machines lose power once meanwhile."""

from asyncio import Task, create_task, gather, sleep
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random
from signal import SIGKILL
from sys import exit
from time import monotonic

from stands.http import Channel, Cut, Message
from stands.node import BOUNDS, HAS_TROUBLE, Node, Record, run_case, wait_ready
from stands.site import MODELS, config, headers, next_attempt
from stands.store import Store
from stands.workers import Work, Worker

ZONE = "perth-south"
BAD_PART = "91bd3f06"
SHARED_PART = "5c1e07a2"
ENGINES = 10
CALLERS = 6
LIMIT_MS = 10_000
BAD_INTERVAL_S = 3.0
BACK_S = 2.5  # a crashed engine is back after this time, under a new id
BEFORE_S, DARK_S, AFTER_S = 20.0, 3.0, 35.0
STABILITY_S = float(BOUNDS["stabilityMs"]) / 1000
MAX_REACHED = 3


def _is_bad(request: Message) -> bool:
    return BAD_PART in request.headers.get("lagoonhinge-prompt-prefix", "")


async def play(folder: Path, record: Record, nodes: list[Node]) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    await store.start()
    random, numbers = Random(1), count(ENGINES)
    engines = [
        Worker(f"i-{n}", MODELS, ZONE, 8, Work(0.15, 8, 0.05), record, _is_bad)
        for n in range(ENGINES)
    ]
    for engine in engines:
        await engine.start(store)

    async def bring_back(engine: Worker) -> None:
        known = 0
        while True:
            await sleep(0.05)
            if len(engine.crashes) > known:
                known = len(engine.crashes)
                await sleep(BACK_S)
                store.remove("servers", engine.instance)
                engine.instance = f"i-{next(numbers)}"
                await engine.start(store)
                record.write("worker_back", worker=engine.instance)

    tasks: list[Task[None]] = [create_task(bring_back(engine)) for engine in engines]
    store.put("op", "config", config())
    nodes += [Node(f"front-{n}", ZONE, store.port, folder, record) for n in (1, 2, 3)]
    for node in nodes:
        node.start()
    await wait_ready(nodes)
    await sleep(4.0)  # the machines are in touch
    answers: Counter[str] = Counter()
    bad_attempts: set[str] = set()

    async def send(channel: Channel, parts: str, is_bad: bool) -> None:
        attempt = next_attempt()
        kind = "bad" if is_bad else "sound"
        if is_bad:
            bad_attempts.add(attempt)
        sent = headers(attempt, LIMIT_MS, "4960,300", f"{parts},{attempt}:900")
        record.write("sent", attempt=attempt, kind=kind, port=channel.port)
        try:
            target = f"/spec-query/{attempt}"
            answer = await channel.send("POST", target, sent, attempt.encode())
            status = str(answer.status)
        except Cut:
            status = "cut"
        record.write("answered", attempt=attempt, kind=kind, status=status)
        answers[f"{kind}_{status}"] += 1

    async def call(number: int) -> None:
        channel = Channel(nodes[number % len(nodes)].port)
        while True:
            await sleep(random.uniform(0.2, 0.6))
            await send(channel, f"{SHARED_PART}:40", False)

    async def call_badly() -> None:
        for turn in count():
            channel = Channel(nodes[turn % len(nodes)].port)
            parts = f"{SHARED_PART}:40,{BAD_PART}:400"
            tasks.append(create_task(send(channel, parts, True)))
            await sleep(BAD_INTERVAL_S)

    tasks += [create_task(call(number)) for number in range(CALLERS)]
    tasks.append(create_task(call_badly()))
    await sleep(BEFORE_S)
    in_touch_s = [monotonic()]  # until the loss, and from after it
    if HAS_TROUBLE:
        for node in nodes:
            node.signal(SIGKILL)
        await sleep(DARK_S)
        for node in nodes:
            node.start()
        await wait_ready(nodes)
        record.write("all_ready_again")
    in_touch_s.append(monotonic() + STABILITY_S if HAS_TROUBLE else in_touch_s[0])
    await sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
    crashes_s = sorted(at_s for engine in engines for at_s in engine.crashes)
    record.write("answers", **answers)
    record.write("crashes", count=len(crashes_s))
    if len(crashes_s) < 5:
        raise AssertionError("fewer than five crashes")
    counted_s = crashes_s[4] + STABILITY_S
    reached = [
        (run.at_s, engine.instance, run.attempt)
        for engine in engines
        for run in engine.runs
        if run.attempt in bad_attempts
        and run.at_s > counted_s
        and not in_touch_s[0] <= run.at_s <= in_touch_s[1]
    ]
    for at_s, instance, attempt in sorted(reached):
        at = round(at_s - record.started_s, 3)
        record.write("reached", at_s=at, worker=instance, attempt=attempt)
    requests = {attempt for _, _, attempt in reached}
    record.write(
        "bad_requests_that_reached_workers",
        requests=len(requests),
        arrivals=len(reached),
        allowed=MAX_REACHED,
    )
    return len(reached) <= MAX_REACHED


if __name__ == "__main__":
    exit(run_case(Path(__file__).parent, play))
