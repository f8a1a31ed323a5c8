"""Nodes that place prompts on emulated engines and exchange delayed load updates."""

from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from bench.emulator.clock import TimedCallback, VirtualClock
from bench.emulator.engine import EmulatedEngine, EngineRequest
from bench.emulator.policies import Policy, PredictedCost, place_by_baseline
from bench.emulator.traffic import Arrival
from lagoonhinge_core.forwarding.cell_placement import EnginePool, place_in_cells
from lagoonhinge_core.forwarding.cells import cell_zones
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_tracker import (
    SUMMARY_INTERVAL_S,
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

UPDATE_INTERVAL_S = 0.05  # between load updates, as of the nodes
UPDATE_DELAY_S = 0.002  # one way between availability zones, and two event loops
SUMMARY_DELAY_S = 0.35  # until all nodes of other cells have them
SEND_DELAY_S = 0.003  # from a node to an engine, including connection setup
# A caller disconnects after the longest of these times without an event.
MIN_STALL_TIMEOUT_S = 2.0
STALL_TIMEOUT_TARGETS = 4.0  # multiple of the target time to the first event
STALL_TIMEOUT_GAPS = 8.0  # multiple of the limit of gaps


@dataclass
class Outcome:
    """Result of a request.

    Attributes:
        arrival: The request.
        first_s: Time of its first event, in seconds; infinite before that.
        last_s: Time of its last event so far, in seconds; infinite before the first.
        max_gap_s: Longest gap between events so far, in seconds.
        done: Whether the answer is complete.
    """

    arrival: Arrival
    first_s: float = float("inf")
    last_s: float = float("inf")
    max_gap_s: float = 0.0
    done: bool = False

    def value(self) -> float:
        """Return the value of the answer, 0 if it is incomplete or over its limit."""
        kind = self.arrival.kind
        took_s = self.last_s - self.arrival.at_s
        if not self.done or took_s > kind.time_limit_s:
            return 0.0
        in_time = self.first_s - self.arrival.at_s <= kind.target_s
        value = kind.value if in_time and self.max_gap_s <= kind.gap_limit_s else 0.0
        return (value or kind.late_value) * kind.value_factor(
            self.arrival.prompt_tokens
        )

    def value_in_time(self) -> float:
        """Return the value of an answer in time."""
        kind = self.arrival.kind
        return kind.value * kind.value_factor(self.arrival.prompt_tokens)


@dataclass
class EmulatedFleet:
    """Nodes and engines under one clock.

    Attributes:
        profile: Speeds and memory of the engines.
        policy: Policy that places prompts.
        random: Random number generator, for the node of each request and its sample.
        engines: The engines by name, in the order that all nodes share.
        trackers: Load tracker of each node.
        outcomes: Results of the requests, in order of arrival.
        zones: Availability zones.
        zone_shares: Share of the requests that arrive in each zone; even if empty.
        engine_zones: Zone of each engine.
        cells: Zones that form one cell with each zone.
        clock: Clock of all engines and nodes.
    """

    profile: EngineProfile
    policy: Policy
    random: Random
    engines: dict[str, EmulatedEngine] = field(default_factory=dict)
    trackers: list[LoadTracker] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    zones: tuple[str, ...] = ("z0",)
    zone_shares: tuple[float, ...] = ()
    engine_zones: dict[str, str] = field(default_factory=dict)
    cells: dict[str, frozenset[str]] = field(default_factory=dict)
    clock: VirtualClock = field(default_factory=VirtualClock)

    def build(self, engines: int, nodes: int, zones: int = 1) -> None:
        """Create engines and nodes, evenly in some zones."""
        self.zones = tuple(f"z{number}" for number in range(zones))
        for number in range(engines):
            name = f"e{number:03}"
            self.engines[name] = EmulatedEngine(self.profile, self.clock)
            self.engine_zones[name] = self.zones[number % zones]
        for number in range(nodes):
            self.trackers.append(LoadTracker(f"n{number:03}"))
            self.clock.schedule(
                self.random.uniform(0.0, UPDATE_INTERVAL_S), self._update_sender(number)
            )
        engines_by_zone = Counter(self.engine_zones.values())
        self.cells = {zone: cell_zones(zone, engines_by_zone) for zone in self.zones}
        if self.cells[self.zones[0]] != frozenset(self.zones):
            for zone in self.zones:
                self.clock.schedule(0.0, self._summary_sender(zone))

    def node_zone(self, number: int) -> str:
        """Return the zone of a node."""
        return self.zones[number % len(self.zones)]

    def _peers(self, number: int) -> list[int]:
        """Return the nodes that get a node's updates."""
        tracker, zones = self.trackers[number], self.cells[self.node_zone(number)]
        used = {self.engine_zones[name] for name in tracker.own_work}
        return [
            peer
            for peer in range(len(self.trackers))
            if peer != number and self.node_zone(peer) in zones | used
        ]

    def _cell_size(self, number: int) -> int:
        zones = self.cells[self.node_zone(number)]
        return sum(self.node_zone(n) in zones for n in range(len(self.trackers)))

    def _summary_sender(self, zone: str) -> TimedCallback:
        def send_summary(now_s: float) -> None:
            names = [name for name, z in self.engine_zones.items() if z == zone]
            tracker = self.trackers[self.zones.index(zone)]
            summary = tracker.summarize(zone, names, now_s)

            def receive_summary(at_s: float) -> None:
                delayed = replace(summary, age_s=at_s - now_s)
                for other in self.trackers:
                    other.merge_summary(delayed, at_s)

            self.clock.schedule(now_s + SUMMARY_DELAY_S, receive_summary)
            self.clock.schedule(now_s + SUMMARY_INTERVAL_S, send_summary)

        return send_summary

    def run(self, requests: list[Arrival], until_s: float) -> None:
        """Run requests until a time, in seconds."""
        for arrival in requests:
            outcome = Outcome(arrival)
            self.outcomes.append(outcome)
            self.clock.schedule(
                arrival.at_s, lambda at_s, o=outcome: self._place(o, at_s)
            )
        self.clock.run(until_s)

    def _update_sender(self, number: int) -> TimedCallback:
        def send_update(now_s: float) -> None:
            update = self.trackers[number].take_update()

            peers = self._peers(number)

            def receive_update(at_s: float) -> None:
                for peer in peers:
                    self.trackers[peer].merge(update, at_s)

            self.clock.schedule(now_s + UPDATE_DELAY_S, receive_update)
            interval_s = UPDATE_INTERVAL_S * update_interval_factor(
                self._cell_size(number) - 1
            )
            self.clock.schedule(now_s + interval_s, send_update)

        return send_update

    def _place(self, outcome: Outcome, now_s: float) -> None:
        arrival = outcome.arrival
        number = self.random.choice(self._arrival_nodes())
        kind = arrival.kind
        answer_tokens = arrival.answer_events * self.profile.steps_per_pass
        prompt = Prompt(
            arrival.prompt_tokens, answer_tokens, kind.target_s, kind.time_limit_s
        )
        pool = self._engine_pool(number, now_s)
        match self.policy:
            case PredictedCost(weights):
                placement = place_in_cells(
                    self.profile, pool, prompt, self.random, weights
                )
            case policy:
                candidates = (
                    pool.short_candidates(self.random)
                    if is_short(self.profile, prompt)
                    else pool.own_candidates(False, self.random)
                )
                placement = place_by_baseline(policy, self.profile, candidates, prompt)
        if isinstance(placement, Placement):
            _Attempt(self, self.trackers[number], outcome, prompt, placement).start(
                now_s
            )

    def _arrival_nodes(self) -> list[int]:
        """Return the nodes of the zone that the next request arrives in."""
        if not self.zone_shares:
            return list(range(len(self.trackers)))
        (zone,) = self.random.choices(self.zones, self.zone_shares)
        return [n for n in range(len(self.trackers)) if self.node_zone(n) == zone]

    def _engine_pool(self, number: int, now_s: float) -> EnginePool[str]:
        """Return the engines as a node knows them."""
        tracker, cell = self.trackers[number], self.cells[self.node_zone(number)]
        names = {
            zone: [name for name, z in self.engine_zones.items() if z == zone]
            for zone in self.zones
        }
        known = (
            (tracker.current_summary(zone, now_s), names[zone])
            for zone in self.zones
            if zone not in cell
        )
        return EnginePool(
            [name for name, zone in self.engine_zones.items() if zone in cell],
            [(summary, engines) for summary, engines in known if summary is not None],
            self._cell_size(number) - 1,
            lambda name: tracker.prefill_s(name, now_s),
            lambda name, position: EngineCandidate(
                name, tracker.load(name, now_s), position=position
            ),
            lambda name, summary: EngineCandidate(
                name, tracker.remote_load(name, summary, now_s), is_remote=True
            ),
        )


class _Attempt:
    """Attempt at one request, and its entries in the node's load tracker."""

    def __init__(
        self,
        fleet: EmulatedFleet,
        tracker: LoadTracker,
        outcome: Outcome,
        prompt: Prompt,
        placement: Placement,
    ):
        self.fleet = fleet
        self.tracker = tracker
        self.outcome = outcome
        self.placement = placement
        self.prompt_number = tracker.next_prompt_number()
        self.engine_names = (placement.instance, *placement.helpers)
        kind = outcome.arrival.kind
        self.stall_timeout_s = max(
            MIN_STALL_TIMEOUT_S,
            STALL_TIMEOUT_TARGETS * kind.target_s,
            STALL_TIMEOUT_GAPS * kind.gap_limit_s,
        )
        reservations = {r.instance: r.tokens for r in placement.reservations}
        reserved_tokens = tuple(reservations.get(name, 0) for name in self.engine_names)
        self.unreserved_tokens = prompt.memory_tokens() - sum(reserved_tokens)
        self.request = EngineRequest(
            prompt.tokens,
            prompt.max_answer_tokens,
            tuple(fleet.engines[name] for name in self.engine_names),
            reserved_tokens,
            self._on_event,
            self._on_end,
        )

    def start(self, now_s: float) -> None:
        """Count the request and dispatch it."""
        self.tracker.start_request(self.placement.instance, self.unreserved_tokens)
        for name, tokens in zip(
            self.engine_names, self.request.reserved_tokens, strict=True
        ):
            self.tracker.add_reserved(name, tokens)
            placement = self.placement
            prefill = Prefill(
                self.prompt_number,
                name,
                placement.prefill_s,
                placement.is_long,
                placement.pass_s,
            )
            self.tracker.add_prefill(prefill, now_s)
        self.fleet.clock.schedule(now_s + SEND_DELAY_S, self.request.send)
        self._schedule_stall_check(now_s)

    def _schedule_stall_check(self, now_s: float) -> None:
        self.fleet.clock.schedule(now_s + self.stall_timeout_s, self._check_stall)

    def _check_stall(self, now_s: float) -> None:
        outcome = self.outcome
        if outcome.done or self.request.cancelled:
            return
        last_event_s = outcome.last_s
        if last_event_s == float("inf"):
            last_event_s = outcome.arrival.at_s
        if now_s >= last_event_s + self.stall_timeout_s:
            self.request.cancelled = True
            self.tracker.cancel_prefill(self.prompt_number, self.engine_names, now_s)
            self._finish()
        else:
            self._schedule_stall_check(last_event_s)

    def _on_event(self, now_s: float) -> None:
        outcome = self.outcome
        if outcome.first_s == float("inf"):
            outcome.first_s = now_s + SEND_DELAY_S
            self.tracker.finish_prefill(self.prompt_number, self.engine_names)
        else:
            gap_s = now_s + SEND_DELAY_S - outcome.last_s
            outcome.max_gap_s = max(outcome.max_gap_s, gap_s)
        outcome.last_s = now_s + SEND_DELAY_S

    def _on_end(self, now_s: float) -> None:
        self.outcome.done = True
        self._finish()

    def _finish(self) -> None:
        self.tracker.finish_request(self.placement.instance, self.unreserved_tokens)
        for name, tokens in zip(
            self.engine_names, self.request.reserved_tokens, strict=True
        ):
            self.tracker.add_reserved(name, -tokens)
