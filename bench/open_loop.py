"""Open-loop client: sends requests at their times, whatever the answers do."""

from asyncio import create_task, gather, sleep
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from time import monotonic
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import json

from features.support.fleet import account_key

BYTES_PER_TOKEN = 4
FIRST_EVENT_BYTES = 65_536
ANSWER_TIMEOUT_S = 120.0
MAX_OUTPUT_TOKENS = 8


@dataclass(frozen=True)
class Arrival:
    """One request to send.

    Attributes:
        at_s: When, from the start of the block, in seconds.
        account: Client account.
        tokens: Prompt length, in tokens.
    """

    at_s: float
    account: str
    tokens: int


@dataclass(frozen=True)
class Answer:
    """What came of one request.

    Attributes:
        arrival: The request.
        status: HTTP status; 0 if the connection broke.
        first_token_s: Time to the first token, in seconds.
        ended_s: End of the answer, from the start of the block, in seconds.
        is_whole: Whether the answer had its end mark.
        outcome: Outcome of a failure.
        has_retry_after: Whether a failure said when to come back.
        took_s: Time to the end of the answer, in seconds.
    """

    arrival: Arrival
    status: int
    first_token_s: float
    ended_s: float
    is_whole: bool
    outcome: str
    has_retry_after: bool
    took_s: float


@dataclass(frozen=True)
class Stream:
    """Poisson arrivals of one kind.

    Attributes:
        accounts: Accounts that send them, in turn by chance.
        per_s: Arrivals a second.
        least_tokens: Shortest prompt, in tokens.
        most_tokens: Longest prompt, in tokens; lengths are uniform.
    """

    accounts: tuple[str, ...]
    per_s: float
    least_tokens: int
    most_tokens: int

    def mean_tokens(self) -> float:
        """Return the mean prompt length, in tokens."""
        return (self.least_tokens + self.most_tokens) / 2


def arrivals(streams: tuple[Stream, ...], block_s: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a block in order; the same seed gives the same ones."""
    found: list[Arrival] = []
    for number, stream in enumerate(streams):
        random = Random(f"{seed}/{number}")
        # Given their count, Poisson arrivals are uniform; a fixed count keeps the
        # offered load what it is said to be in a short block.
        for _ in range(round(stream.per_s * block_s)):
            at_s = random.uniform(0.0, block_s)
            tokens = random.randint(stream.least_tokens, stream.most_tokens)
            found.append(Arrival(at_s, random.choice(stream.accounts), tokens))
    return sorted(found, key=lambda arrival: arrival.at_s)


def one_by_one(stream: Stream, count: int, seed: int) -> Iterator[Arrival]:
    """Return arrivals of a stream to be sent one after the other."""
    random = Random(f"{seed}/one")
    for _ in range(count):
        tokens = random.randint(stream.least_tokens, stream.most_tokens)
        yield Arrival(0.0, stream.accounts[0], tokens)


class OpenLoop:
    """Sends arrivals to nodes in turn and collects the answers."""

    def __init__(self, urls: tuple[str, ...], timeout_s: float):
        self.urls = urls
        self.timeout_s = timeout_s
        self.sent = 0
        # No block may find its prompts in the caches that another one filled.
        self.name = uuid4().hex

    async def run(self, planned: list[Arrival]) -> list[Answer]:
        """Send each arrival at its time; returns all answers."""
        async with self._session() as session:
            started_s = monotonic()
            tasks = []
            for arrival in planned:
                await sleep(max(0.0, started_s + arrival.at_s - monotonic()))
                tasks.append(create_task(self._send(session, arrival, started_s)))
            return list(await gather(*tasks))

    async def run_one_by_one(self, planned: Iterator[Arrival]) -> list[Answer]:
        """Send each arrival after the answer before it has ended."""
        async with self._session() as session:
            started_s = monotonic()
            return [await self._send(session, item, started_s) for item in planned]

    def _session(self) -> ClientSession:
        return ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=ANSWER_TIMEOUT_S),
        )

    async def _send(
        self, session: ClientSession, arrival: Arrival, started_s: float
    ) -> Answer:
        self.sent += 1
        url = self.urls[self.sent % len(self.urls)] + "/v1/completions"
        headers = {
            "Authorization": f"Bearer {account_key(arrival.account)}",
            "X-Timeout-Seconds": str(self.timeout_s),
        }
        body = _body(arrival.tokens, self.name, self.sent)
        sent_s = monotonic()
        try:
            async with session.post(url, data=body, headers=headers) as response:
                first = await response.content.read(FIRST_EVENT_BYTES)
                first_token_s = monotonic() - sent_s
                rest = first + await response.content.read(-1)
        except (ClientError, TimeoutError):
            took_s = monotonic() - sent_s
            ended_s = monotonic() - started_s
            return Answer(arrival, 0, took_s, ended_s, False, "", False, took_s)
        is_whole = rest.endswith(b"[DONE]\n\n")
        outcome = "" if is_whole else _outcome(rest)
        return Answer(
            arrival,
            response.status,
            first_token_s,
            monotonic() - started_s,
            is_whole,
            outcome,
            "Retry-After" in response.headers,
            monotonic() - sent_s,
        )


def _body(tokens: int, block: str, number: int) -> bytes:
    prompt = f"{block} {number:08} " + "core " * (tokens * BYTES_PER_TOKEN // 5)
    return json.encode(
        {
            "model": "compliance",
            "prompt": prompt,
            "max_tokens": MAX_OUTPUT_TOKENS,
            "stream": True,
            "seed": number,
        }
    )


def _outcome(body: bytes) -> str:
    last = body.strip().split(b"\n\n")[-1].removeprefix(b"data: ")
    try:
        return str(json.decode(last)["error"]["outcome"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
