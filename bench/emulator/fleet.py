"""Nodes that place prompts on emulated engines, with news of load on its way."""

from dataclasses import dataclass, field
from random import Random

from bench.emulator.clock import Timed, VirtualClock
from bench.emulator.engine import EmulatedEngine, EngineRequest
from bench.emulator.policies import Policy, place_by
from bench.emulator.traffic import Arrival
from lagoonhinge_core.forwarding.engine_sampling import sample_engines
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_tracker import (
    LoadTracker,
    Prefill,
    update_interval_factor,
)
from lagoonhinge_core.forwarding.prompt_placement import (
    EngineCandidate,
    Placement,
    Prompt,
    is_short,
)

NEWS_INTERVAL_S = 0.05  # as nodes tell their load
NEWS_DELAY_S = 0.002  # one way between availability zones, and two event loops
SEND_DELAY_S = 0.003  # from a node to an engine, connection included
STREAM_WAIT_S = 2.0  # least silence after which callers leave a stream
STREAM_WAIT_TARGETS = 4.0  # the same, in target times
STREAM_WAIT_PAUSES = 8.0  # the same, in limits of a pause


@dataclass
class Outcome:
    """What became of a request.

    Attributes:
        arrival: The request.
        first_s: When its first event came, in seconds; infinite if it did not.
        last_s: When its last event so far came, in seconds.
        pause_s: Longest pause between events so far, in seconds.
        done: Whether the answer is whole.
    """

    arrival: Arrival
    first_s: float = float("inf")
    last_s: float = float("inf")
    pause_s: float = 0.0
    done: bool = False

    def earned(self) -> float:
        """Return the worth of the answer."""
        kind = self.arrival.kind
        took_s = self.last_s - self.arrival.at_s
        if not self.done or took_s > kind.limit_s:
            return 0.0
        in_time = self.first_s - self.arrival.at_s <= kind.target_s
        worth = kind.worth if in_time and self.pause_s <= kind.pause_s else 0.0
        return (worth or kind.late_worth) * kind.weight(self.arrival.prompt_tokens)

    def owed(self) -> float:
        """Return the worth of an answer in time."""
        kind = self.arrival.kind
        return kind.worth * kind.weight(self.arrival.prompt_tokens)


@dataclass
class EmulatedFleet:
    """Nodes and engines under one clock.

    Attributes:
        profile: Speeds and memory of the engines.
        policy: Places prompts.
        engines: The engines, in shared order.
        nodes: What each node believes.
        random: Chooses the node of each request.
        outcomes: What became of the requests, in order of arrival.
        clock: The clock.
    """

    profile: EngineProfile
    policy: Policy
    random: Random
    engines: dict[str, EmulatedEngine] = field(default_factory=dict)
    nodes: list[LoadTracker] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    clock: VirtualClock = field(default_factory=VirtualClock)

    def build(self, engines: int, nodes: int) -> None:
        """Create engines and nodes."""
        for number in range(engines):
            self.engines[f"e{number:03}"] = EmulatedEngine(self.profile, self.clock)
        for number in range(nodes):
            self.nodes.append(LoadTracker(f"n{number:03}"))
            self.clock.schedule(
                self.random.uniform(0.0, NEWS_INTERVAL_S), self._tell(number)
            )

    def run(self, requests: list[Arrival], until_s: float) -> None:
        """Play requests until a time, in seconds."""
        for arrival in requests:
            outcome = Outcome(arrival)
            self.outcomes.append(outcome)
            self.clock.schedule(
                arrival.at_s, lambda at_s, o=outcome: self._serve(o, at_s)
            )
        self.clock.run(until_s)

    def _tell(self, number: int) -> Timed:
        def tell(now_s: float) -> None:
            news = self.nodes[number].take_update()

            def hear(at_s: float) -> None:
                for other, book in enumerate(self.nodes):
                    if other != number:
                        book.merge(news, at_s)

            self.clock.schedule(now_s + NEWS_DELAY_S, hear)
            pause_s = NEWS_INTERVAL_S * update_interval_factor(len(self.nodes) - 1)
            self.clock.schedule(now_s + pause_s, tell)

        return tell

    def _serve(self, outcome: Outcome, now_s: float) -> None:
        arrival, book = outcome.arrival, self.random.choice(self.nodes)
        kind = arrival.kind
        answer = arrival.answer_events * self.profile.steps_per_pass
        prompt = Prompt(arrival.prompt_tokens, answer, kind.target_s, kind.limit_s)
        short, peers = is_short(self.profile, prompt), len(self.nodes) - 1
        names = tuple(self.engines)
        choices = tuple(
            EngineCandidate(name, book.load(name, now_s), position=place)
            for place, name in sample_engines(names, short, peers, self.random)
        )
        placement = place_by(self.policy, self.profile, choices, prompt)
        if isinstance(placement, Placement):
            _Send(self, book, outcome, prompt, placement).start(now_s)


class _Send:
    """One request on its way, and the node's records of it."""

    def __init__(
        self,
        fleet: EmulatedFleet,
        book: LoadTracker,
        outcome: Outcome,
        prompt: Prompt,
        placement: Placement,
    ):
        self.fleet = fleet
        self.book = book
        self.outcome = outcome
        self.placement = placement
        self.number = book.next_prompt_number()
        self.names = (placement.instance, *placement.helpers)
        kind = outcome.arrival.kind
        self.wait_s = max(
            STREAM_WAIT_S,
            STREAM_WAIT_TARGETS * kind.target_s,
            STREAM_WAIT_PAUSES * kind.pause_s,
        )
        holdings = {h.instance: h.tokens for h in placement.reservations}
        held = tuple(holdings.get(name, 0) for name in self.names)
        self.size = prompt.memory_tokens() - sum(held)
        self.request = EngineRequest(
            prompt.tokens,
            prompt.max_answer_tokens,
            tuple(fleet.engines[name] for name in self.names),
            held,
            self._on_event,
            self._on_end,
        )

    def start(self, now_s: float) -> None:
        """Count the request and send it."""
        self.book.start_request(self.placement.instance, self.size)
        for name, tokens in zip(self.names, self.request.held, strict=True):
            self.book.add_reserved(name, tokens)
            placed = self.placement
            reading = Prefill(
                self.number, name, placed.prefill_s, placed.is_long, placed.pass_s
            )
            self.book.add_prefill(reading, now_s)
        self.fleet.clock.schedule(now_s + SEND_DELAY_S, self.request.send)
        self._watch(now_s)

    def _watch(self, now_s: float) -> None:
        self.fleet.clock.schedule(now_s + self.wait_s, self._check_silence)

    def _check_silence(self, now_s: float) -> None:
        outcome = self.outcome
        if outcome.done or self.request.left:
            return
        heard_s = outcome.last_s
        if heard_s == float("inf"):
            heard_s = outcome.arrival.at_s
        if now_s >= heard_s + self.wait_s:
            self.request.left = True
            self.book.cancel_prefill(self.number, self.names, now_s)
            self._forget()
        else:
            self._watch(heard_s)

    def _on_event(self, now_s: float) -> None:
        outcome = self.outcome
        if outcome.first_s == float("inf"):
            outcome.first_s = now_s + SEND_DELAY_S
            self.book.finish_prefill(self.number, self.names)
        else:
            pause_s = now_s + SEND_DELAY_S - outcome.last_s
            outcome.pause_s = max(outcome.pause_s, pause_s)
        outcome.last_s = now_s + SEND_DELAY_S

    def _on_end(self, now_s: float) -> None:
        self.outcome.done = True
        self._forget()

    def _forget(self) -> None:
        self.book.finish_request(self.placement.instance, self.size)
        for name, tokens in zip(self.names, self.request.held, strict=True):
            self.book.add_reserved(name, -tokens)
