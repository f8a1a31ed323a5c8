"""A row of another writer in the list of workers, and then the kill of all nodes."""

from asyncio import create_task, gather, sleep
from pathlib import Path
from sys import exit, path
from time import monotonic

FOLDER = Path(__file__).parent
path.insert(0, str(FOLDER.parent))

from support.case import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, run_case  # noqa: E402
from support.clients import Channel  # noqa: E402
from support.config import (  # noqa: E402
    ISSUE,
    LOOKUP,
    MODELS,
    REGISTRY,
    SPEC,
    client_headers,
    config,
    next_attempt,
)
from support.nodes import Node, wait_ready  # noqa: E402
from support.record import Record  # noqa: E402
from support.store import ROW_BYTES, Store  # noqa: E402
from support.workers import Site, Worker  # noqa: E402

ZONES = ("perth-north", "perth-east", "perth-south")
REQUESTS_PER_S = 10.0
BEFORE_S = 6.0  # of traffic, before the row is written and again before the fault
DOWN_S = 1.4
RECOVER_S = 12.0  # the bound of the rule
AFTER_S = 8.0  # of traffic that the rule looks at
SHARE = 0.25  # of the rule


def unreadable_row() -> bytes:
    """Return a row whose bytes can't be read: lists in lists that never end."""
    start = b'{"service": "other", "notes": '
    return start + b"[" * (ROW_BYTES - len(start))


class Traffic:
    """Clients that send requests to all nodes in turn.

    Args:
        nodes: The nodes.
        record: The record.
    """

    def __init__(self, nodes: list[Node], record: Record):
        self.nodes = nodes
        self.record = record
        # When each request was sent, in seconds, and whether it was served.
        self.results: list[tuple[float, bool]] = []

    async def send_one(self, number: int) -> None:
        """Send one request on a new channel."""
        node = self.nodes[number % len(self.nodes)]
        route = (SPEC, SPEC, LOOKUP, ISSUE)[number // len(self.nodes) % 4]
        tokens = "4960,100" if route == SPEC else ""
        attempt, sent_s = next_attempt(), monotonic()
        channel = Channel(node.port)
        headers = client_headers(attempt, route, tokens)
        method = "GET" if route == LOOKUP else "POST"
        answer = await channel.send(method, f"{route}a", headers, 10.0)
        channel.close()
        self.results.append((sent_s, answer.is_served()))
        self.record.write(
            "answered",
            attempt=attempt,
            route=route,
            node=node.name,
            status=answer.status,
            complete=answer.is_complete,
            error=answer.error,
        )

    async def run(self, duration_s: float) -> None:
        """Send requests at an even rate for some time, and wait for their answers."""
        tasks = []
        for number in range(int(duration_s * REQUESTS_PER_S)):
            tasks.append(create_task(self.send_one(number)))
            await sleep(1 / REQUESTS_PER_S)
        await gather(*tasks)

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return the share of the requests sent in a span that was served."""
        served = [ok for sent_s, ok in self.results if from_s <= sent_s < to_s]
        return sum(served) / max(1, len(served))


async def play(folder: Path, record: Record, nodes: list[Node]) -> int:
    """Play the case; return the exit status."""
    store = Store()
    await store.start()
    site = Site(store, record)
    store.put("op", "config", config())
    for number in range(6):
        zone = ZONES[number % 3]
        await Worker(site, f"i-engine{number}", MODELS, zone, 16, events=8).start()
    for number, zone in enumerate(ZONES):
        await Worker(site, f"i-registry{number}", REGISTRY, zone, 6).start()
    for zone in ZONES:
        nodes.append(Node(f"front-{zone}-1", zone, store.port, folder, record))
        nodes[-1].start()
    if not await wait_ready(nodes):
        return NOT_RUN
    await sleep(2.0)
    traffic = Traffic(nodes, record)
    start_s = monotonic()
    await traffic.run(BEFORE_S)
    if HAS_TROUBLE:
        record.write("another writer writes servers/other-1", bytes=ROW_BYTES)
        store.put("servers", "other-1", unreadable_row())
    await traffic.run(BEFORE_S)
    fault_s = monotonic()
    for node in nodes:
        node.kill()
    await sleep(DOWN_S)
    for node in nodes:
        node.start()
    is_ready = await wait_ready(nodes)
    back_s = monotonic()
    record.write("the machines are back", ready=is_ready)
    await traffic.run(RECOVER_S + AFTER_S)
    before = traffic.served_share(start_s, fault_s)
    after = traffic.served_share(back_s + RECOVER_S, monotonic())
    record.write("served", before=f"{before:.2f}", after=f"{after:.2f}")
    print(f"served before the fault {before:.2f}, after recovery {after:.2f}")
    if before < SHARE:
        return NOT_RUN
    return BROKEN if after < SHARE else HELD


if __name__ == "__main__":
    exit(run_case(FOLDER, play))
