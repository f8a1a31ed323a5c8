"""A part of prompts crashes engines, while sound prompts share their first part."""

from asyncio import Task, create_task, gather, sleep
from itertools import count
from pathlib import Path
from random import Random
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
ENGINES = 6
LIMIT_MS = 10_000
WORK = Work(0.15, 23, 0.4)  # the sheet's events of a dossier; pauses up to 0.6 s
SOUND_INTERVAL_S = 0.2
BAD_INTERVAL_S = 0.9
BACK_S = 2.5  # a crashed engine is back after this time, under a new id
CALM_S, BAD_S = 6.0, 14.0
STABILITY_S = float(BOUNDS["stabilityMs"]) / 1000
LEAST_COUNT = 20


def _is_bad(request: Message) -> bool:
    return BAD_PART in request.headers.get("lagoonhinge-prompt-prefix", "")


async def play(folder: Path, record: Record, nodes: list[Node]) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    await store.start()
    numbers = count(ENGINES)
    engines = [
        Worker(f"i-{n}", MODELS, ZONE, 8, WORK, record, _is_bad) for n in range(ENGINES)
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
    random = Random(1)
    first_tries: list[tuple[float, str]] = []  # sound ones: when sent, the attempt
    bad_sent_s: list[float] = []

    async def send(parts: str, kind: str) -> float | None:
        """Send a prompt; return after which time to try again, if at all."""
        attempt, channel = next_attempt(), Channel(random.choice(nodes).port)
        if kind == "sound":
            first_tries.append((monotonic(), attempt))
        sent = headers(attempt, LIMIT_MS, "45000,800", f"{parts},{attempt}:900")
        record.write("sent", attempt=attempt, kind=kind, port=channel.port)
        again_s: float | None = None
        try:
            target = f"/batch-dossier/{attempt}"
            answer = await channel.send("POST", target, sent, attempt.encode())
            status = str(answer.status)
            if answer.status == 503:
                again_s = float(answer.headers.get("retry-after", "0"))
        except Cut:
            status = "cut"
        channel.close()
        record.write("answered", attempt=attempt, kind=kind, status=status)
        return again_s

    async def call() -> None:
        again_s = await send(f"{SHARED_PART}:40", "sound")
        if again_s is not None:
            await sleep(min(again_s, LIMIT_MS / 3000))
            await send(f"{SHARED_PART}:40", "sound_retry")

    async def call_all() -> None:
        while True:
            tasks.append(create_task(call()))
            await sleep(random.uniform(0.5, 1.5) * SOUND_INTERVAL_S)

    async def call_badly() -> None:
        while True:
            bad_sent_s.append(monotonic())
            tasks.append(
                create_task(_ignore(send(f"{SHARED_PART}:40,{BAD_PART}:400", "bad")))
            )
            await sleep(BAD_INTERVAL_S)

    calling = create_task(call_all())
    await sleep(CALM_S)
    calm_end_s = monotonic()
    bad = create_task(call_badly()) if HAS_TROUBLE else create_task(sleep(0))
    await sleep(BAD_S)
    end_s = monotonic()
    bad.cancel()
    calling.cancel()
    await sleep(1.0)
    tasks += [calling, bad]
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
    begun = {run.attempt for engine in engines for run in engine.runs}
    crashes_s = sorted(at_s for engine in engines for at_s in engine.crashes)
    from_s = calm_end_s
    if HAS_TROUBLE:
        if not crashes_s:
            raise AssertionError("no crash")
        from_s = crashes_s[:5][-1] + 2 * STABILITY_S
        end_s = bad_sent_s[-1]
    record.write("crashes", count=len(crashes_s))
    calm = [attempt in begun for at_s, attempt in first_tries if at_s < calm_end_s]
    after = [attempt in begun for at_s, attempt in first_tries if from_s < at_s < end_s]
    record.write("sound_first_tries_before", count=len(calm), begun=sum(calm))
    record.write(
        "sound_first_tries_after",
        count=len(after),
        begun=sum(after),
        from_s=round(from_s - record.started_s, 1),
        to_s=round(end_s - record.started_s, 1),
    )
    if min(len(calm), len(after)) < LEAST_COUNT:
        raise AssertionError("too few requests to judge")
    return sum(after) / len(after) >= sum(calm) / len(calm) / 2


async def _ignore(sending: object) -> None:
    await sending  # type: ignore[misc]


if __name__ == "__main__":
    exit(run_case(Path(__file__).parent, play))
