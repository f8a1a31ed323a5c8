"""Open-loop client: sends requests at their times, without waiting for answers."""

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
FIRST_READ_BYTES = 65_536  # limit of the read that returns the first event
ANSWER_TIMEOUT_S = 120.0
MAX_OUTPUT_TOKENS = 8


@dataclass(frozen=True)
class Arrival:
    """One request to send.

    Attributes:
        at_s: Send time, from the start of the block, in seconds.
        account: Client account.
        tokens: Prompt length, in tokens.
    """

    at_s: float
    account: str
    tokens: int


@dataclass(frozen=True)
class Answer:
    """Result of one request.

    Attributes:
        arrival: The request.
        status: HTTP status; 0 if the connection failed.
        first_token_s: Time to the first token, in seconds.
        ended_s: End of the answer, from the start of the block, in seconds.
        is_complete: Whether the answer ended with its end marker.
        outcome: Outcome in the body of an incomplete answer; else empty.
        has_retry_after: Whether the answer has a Retry-After header.
        took_s: Time to the end of the answer, in seconds.
    """

    arrival: Arrival
    status: int
    first_token_s: float
    ended_s: float
    is_complete: bool
    outcome: str
    has_retry_after: bool
    took_s: float


@dataclass(frozen=True)
class Stream:
    """Poisson arrivals of one kind of prompt.

    Attributes:
        accounts: Client accounts; each arrival is from a random one.
        rate_per_s: Arrivals per second.
        min_tokens: Shortest prompt, in tokens.
        max_tokens: Longest prompt, in tokens; lengths are uniform.
    """

    accounts: tuple[str, ...]
    rate_per_s: float
    min_tokens: int
    max_tokens: int

    def mean_tokens(self) -> float:
        """Return the mean prompt length, in tokens."""
        return (self.min_tokens + self.max_tokens) / 2


def arrivals(streams: tuple[Stream, ...], block_s: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a block in order; the same seed gives the same ones."""
    generated: list[Arrival] = []
    for number, stream in enumerate(streams):
        random = Random(f"{seed}/{number}")
        # Given their count, Poisson arrivals are uniform; a fixed count keeps the
        # offered load exact in a short block.
        for _ in range(round(stream.rate_per_s * block_s)):
            at_s = random.uniform(0.0, block_s)
            tokens = random.randint(stream.min_tokens, stream.max_tokens)
            generated.append(Arrival(at_s, random.choice(stream.accounts), tokens))
    return sorted(generated, key=lambda arrival: arrival.at_s)


def sequential_arrivals(stream: Stream, count: int, seed: int) -> Iterator[Arrival]:
    """Return arrivals of a stream, to be sent one after the other."""
    random = Random(f"{seed}/one")
    for _ in range(count):
        tokens = random.randint(stream.min_tokens, stream.max_tokens)
        yield Arrival(0.0, stream.accounts[0], tokens)


class OpenLoop:
    """Sends arrivals to nodes in turn and collects the answers."""

    def __init__(self, urls: tuple[str, ...], timeout_s: float):
        self.urls = urls
        self.timeout_s = timeout_s
        self.sent_count = 0
        # A unique prefix keeps prompts out of the caches that other blocks filled.
        self.prompt_prefix = uuid4().hex

    async def run(self, planned: list[Arrival]) -> list[Answer]:
        """Send each arrival at its time; return all answers."""
        async with self._session() as session:
            started_s = monotonic()
            tasks = []
            for arrival in planned:
                await sleep(max(0.0, started_s + arrival.at_s - monotonic()))
                tasks.append(create_task(self._send(session, arrival, started_s)))
            return list(await gather(*tasks))

    async def run_sequentially(self, planned: Iterator[Arrival]) -> list[Answer]:
        """Send each arrival after the previous answer ended; return all answers."""
        async with self._session() as session:
            started_s = monotonic()
            return [
                await self._send(session, arrival, started_s) for arrival in planned
            ]

    def _session(self) -> ClientSession:
        return ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(total=ANSWER_TIMEOUT_S),
        )

    async def _send(
        self, session: ClientSession, arrival: Arrival, started_s: float
    ) -> Answer:
        self.sent_count += 1
        url = self.urls[self.sent_count % len(self.urls)] + "/v1/completions"
        headers = {
            "Authorization": f"Bearer {account_key(arrival.account)}",
            "X-Timeout-Seconds": str(self.timeout_s),
        }
        body = _body(arrival.tokens, self.prompt_prefix, self.sent_count)
        sent_s = monotonic()
        try:
            async with session.post(url, data=body, headers=headers) as response:
                first_bytes = await response.content.read(FIRST_READ_BYTES)
                first_token_s = monotonic() - sent_s
                answer_body = first_bytes + await response.content.read(-1)
        except (ClientError, TimeoutError):
            took_s = monotonic() - sent_s
            ended_s = monotonic() - started_s
            return Answer(arrival, 0, took_s, ended_s, False, "", False, took_s)
        is_complete = answer_body.endswith(b"[DONE]\n\n")
        outcome = "" if is_complete else _outcome(answer_body)
        return Answer(
            arrival,
            response.status,
            first_token_s,
            monotonic() - started_s,
            is_complete,
            outcome,
            "Retry-After" in response.headers,
            monotonic() - sent_s,
        )


def _body(tokens: int, prefix: str, number: int) -> bytes:
    prompt = f"{prefix} {number:08} " + "core " * (tokens * BYTES_PER_TOKEN // 5)
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
