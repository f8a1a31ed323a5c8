"""Planned stops of one node after the other, under answers of about five seconds."""

from asyncio import create_task, gather, sleep
from dataclasses import dataclass
from pathlib import Path
from sys import exit, path
from time import monotonic

FOLDER = Path(__file__).parent
path.insert(0, str(FOLDER.parent))

from support.balancer import Balancer  # noqa: E402
from support.case import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, run_case  # noqa: E402
from support.clients import Answer, Channel  # noqa: E402
from support.config import (  # noqa: E402
    DOSSIER,
    LIMITS_MS,
    MODELS,
    client_headers,
    config,
    next_attempt,
)
from support.nodes import BOUNDS, Node, wait_ready  # noqa: E402
from support.record import Record  # noqa: E402
from support.store import Store  # noqa: E402
from support.workers import Site, Worker  # noqa: E402

ZONE = "perth-east"
NODES, ENGINES, CLIENTS = 3, 16, 180
TOKENS = "45000,800"
EVENTS = 23
GAP_S = 0.2  # up to 0.6 s is on time
PERIOD_S = 5.4  # from one request of a client to its next; an answer takes 4.9 s
WARM_UP_S = 7.0
ROLLS = 2
PAUSE_S = 1.3  # from the return of one node to the stop of the next
GRACE_S = float(BOUNDS["graceS"])
# Requests that are sent later after SIGTERM have no excuse in the rule.
EXCUSED_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
STOP_WINDOW_S = GRACE_S + 1.0


@dataclass(frozen=True)
class Sent:
    """A request, to which node and when it was sent, and how it ended."""

    attempt: str
    node: Node
    sent_s: float
    ended_s: float
    answer: Answer


class Client:
    """A client that keeps its channel and sends one request after the other.

    Args:
        balancer: Chooses a node for each new channel.
        record: The record.
        sent: All requests.
    """

    def __init__(self, balancer: Balancer, record: Record, sent: list[Sent]):
        self.balancer = balancer
        self.record = record
        self.sent = sent
        self.node = balancer.choose()
        self.channel = Channel(self.node.port)

    async def run(self, start_s: float, end_s: float) -> None:
        """Send requests at an even rate."""
        due_s = start_s
        while due_s < end_s:
            await sleep(max(0.0, due_s - monotonic()))
            await self.send_one()
            while due_s <= monotonic():
                due_s += PERIOD_S
        self.channel.close()

    async def send_one(self) -> None:
        """Send one request on the kept channel, or on a new one."""
        if not self.channel.is_open():
            self.channel.close()
            self.node = self.balancer.choose()
            self.channel = Channel(self.node.port)
        attempt, sent_s = next_attempt(), monotonic()
        headers = client_headers(attempt, DOSSIER, TOKENS)
        limit_s = LIMITS_MS[DOSSIER] / 1000
        answer = await self.channel.send("POST", f"{DOSSIER}a", headers, limit_s, b"d")
        self.sent.append(Sent(attempt, self.node, sent_s, monotonic(), answer))
        self.record.write(
            "answered",
            attempt=attempt,
            node=self.node.name,
            sent=f"{sent_s - self.record.started_s:.3f}",
            status=answer.status,
            complete=answer.is_complete,
            error=answer.error,
        )


def lost(sent: list[Sent], stops: list[tuple[Node, float]], site: Site) -> list[str]:
    """Return how requests were lost around planned stops, as the rule counts them."""
    passed_on = {run.attempt for run in site.runs}
    texts: list[str] = []
    for request in sent:
        answer, age_s = request.answer, request.ended_s - request.sent_s
        is_late = age_s >= LIMITS_MS[DOSSIER] / 1000 - 0.2
        if answer.is_complete or is_late or request.attempt not in passed_on:
            continue
        for node, stop_s in stops:
            after_s, ended_s = request.sent_s - stop_s, request.ended_s - stop_s
            if node is not request.node or not 0 < ended_s < STOP_WINDOW_S:
                continue
            if after_s <= EXCUSED_S and ended_s >= LAST_SIXTH_S:
                continue
            texts.append(
                f"attempt={request.attempt} node={node.name} sent {after_s:.3f} s after"
                f" SIGTERM, its channel ends {ended_s:.3f} s after it:"
                f" status {answer.status}, {answer.error}"
            )
    return texts


async def roll(nodes: list[Node]) -> list[tuple[Node, float]]:
    """Stop and start one node after the other; return when each was stopped."""
    stops: list[tuple[Node, float]] = []
    for node in nodes:
        stops.append((node, monotonic()))
        if HAS_TROUBLE:
            node.terminate()
            while node.is_running() and monotonic() - stops[-1][1] < GRACE_S:
                await sleep(0.02)
            if node.is_running():
                node.kill()
            node.start()
            await wait_ready([node])
        else:
            await sleep(GRACE_S)
        await sleep(PAUSE_S)
    return stops if HAS_TROUBLE else []


async def play(folder: Path, record: Record, nodes: list[Node]) -> int:
    """Play the case; return the exit status."""
    store = Store()
    await store.start()
    site = Site(store, record)
    store.put("op", "config", config())
    for number in range(ENGINES):
        name = f"i-engine{number}"
        await Worker(site, name, MODELS, ZONE, 16, events=EVENTS, gap_s=GAP_S).start()
    for number in range(NODES):
        name = f"front-{ZONE}-{number + 1}"
        nodes.append(Node(name, ZONE, store.port, folder, record))
        nodes[-1].start()
    if not await wait_ready(nodes):
        return NOT_RUN
    await sleep(1.0)
    balancer, sent = Balancer(nodes), list[Sent]()
    watching = create_task(balancer.watch())
    start_s = monotonic()
    rolls_s = ROLLS * NODES * (GRACE_S + PAUSE_S + 1.0)
    clients = [Client(balancer, record, sent) for _ in range(CLIENTS)]
    running = [
        create_task(
            client.run(
                start_s + PERIOD_S * number / CLIENTS, start_s + WARM_UP_S + rolls_s
            )
        )
        for number, client in enumerate(clients)
    ]
    await sleep(WARM_UP_S)
    stops: list[tuple[Node, float]] = []
    for _ in range(ROLLS):
        stops += await roll(nodes)
    await gather(*running)
    watching.cancel()
    texts = lost(sent, stops, site)
    for text in texts:
        record.write("lost", request=text)
        print(text)
    served = sum(request.answer.is_served() for request in sent)
    print(f"{len(sent)} requests, {served} served, {len(texts)} lost")
    record.write("requests", sent=len(sent), served=served, lost=len(texts))
    if served < len(sent) / 2:
        return NOT_RUN
    return BROKEN if texts else HELD


if __name__ == "__main__":
    exit(run_case(FOLDER, play))
