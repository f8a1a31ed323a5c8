"""Nodes before engines that prompts crash, in steps of virtual time.

Some prompts share a part that crashes engines. Others crash them by all that they hold;
they come again and again, together with sound ones, and all of a group are on the same
engines, as nodes choose by the same loads.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from lagoonhinge_core.forwarding.crash_causes import (
    PART_PREFIX,
    PROGRESS_INTERVAL_S,
    PossibleCauses,
)
from lagoonhinge_core.forwarding.crash_reports import AnswerReport, CrashReport
from lagoonhinge_core.forwarding.crash_trials import (
    CLAIM_S,
    MAX_TURN_WAIT_S,
    TrialLedger,
    TrialReport,
)
from lagoonhinge_core.forwarding.crashes import CrashTracker
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

STEP_S = 0.02
MESSAGE_DELAY_S = 0.02
SEND_INTERVAL_S = 0.3
EVIDENCE_INTERVAL_S = 1.0
EVIDENCE_RECEIVERS = 3
DETECTION_S = 0.4  # until a node finds that an upstream ended
ANSWER_S = 0.5
BEGIN_S = 0.1  # until an answer begins
RESTART_S = 4.0
MAX_ATTEMPTS = 2
STABLE_S = 3.0
CRASHES_TO_STABLE = 5
REQUEST_CRASHES_TO_STABLE = 3
GROUP_INTERVAL_S = 3.0
CLIENT_RETRY_S = 1.0  # until clients of a group send it again, to another node
BASE_PART = "base"
BESIDE_PART = "beside"
TOPICS = 12  # parts that some sound prompts share


@dataclass
class Request:
    """A request of a client.

    Attributes:
        node: The node that serves it.
        causes: What in it may crash an upstream.
        is_bad: Whether it crashes its upstream.
        attempts: Its attempts so far.
        group: Number of the group in which it came; `None` if alone.
        is_trial: Whether it is tried although it is in quarantine.
        progress_s: When the next event shows that its parts crash nothing, in seconds.
    """

    node: str
    causes: PossibleCauses
    is_bad: bool
    attempts: int = 0
    group: int | None = None
    is_trial: bool = False
    progress_s: float = float("inf")


@dataclass
class Engine:
    """An engine.

    Attributes:
        name: Its name.
        started_ms: Start of its present run, in milliseconds.
        open: The requests that it runs, and when each ends, in seconds.
        down_until_s: Until when it is down, in seconds.
    """

    name: str
    open: list[tuple[float, Request]] = field(default_factory=list)
    down_until_s: float = 0.0
    started_ms: int = 1

    def run(self) -> UpstreamRun:
        """Return its present run."""
        return UpstreamRun(self.name, self.started_ms)


@dataclass
class CrashFleet:
    """The nodes and engines.

    Attributes:
        nodes: Number of nodes.
        engines: Number of engines.
        sound_per_s: Sound prompts a second.
        bad_per_s: Prompts a second with the part that crashes engines.
        loss: Share of lost messages.
        random: Random numbers.
        guilty: Requests of a group that crash engines.
        companions: Sound requests of a group, the same each time.
        strangers: Sound requests of a group that share a part and differ each time.
        bad_parts: Number of parts that crash engines.
        ends_per_s: Engines that end for another reason, a second.
        keeps_names: Whether engines that ended come back under their names.
        answer_s: Time that the stream of a sound prompt takes, in seconds.
    """

    nodes: int
    engines: int
    sound_per_s: float
    bad_per_s: float
    loss: float
    random: Random
    guilty: int = 0
    companions: int = 0
    strangers: int = 0
    bad_parts: int = 1
    ends_per_s: float = 0.0
    keeps_names: bool = False
    answer_s: float = ANSWER_S
    now_s: float = 0.0

    def __post_init__(self) -> None:
        self.trackers = {
            name: CrashTracker(trials=TrialLedger(name))
            for name in (f"n{n}" for n in range(self.nodes))
        }
        self.numbers = iter(range(10**9))
        self.upstreams = [Engine(f"e{next(self.numbers)}") for _ in range(self.engines)]
        self.messages: deque[
            tuple[
                float,
                str,
                tuple[CrashReport, ...],
                tuple[AnswerReport, ...],
                tuple[TrialReport, ...],
            ]
        ] = deque()
        self.claims: list[tuple[float, Request]] = []
        # When each node finds that an upstream ended.
        self.detections: deque[tuple[float, str, str]] = deque()
        self.bad_causes = [f"{PART_PREFIX}bad{n}" for n in range(self.bad_parts)]
        self.guilty_causes = [f"guilty{n}" for n in range(self.guilty)]
        # When engines crashed because of each of these, and when requests were sent.
        self.crashes_s: dict[str, list[float]] = {}
        self.sent_s: dict[str, list[float]] = {}
        self.all_causes: set[frozenset[str]] = set()  # of all requests
        self.sound_s: list[tuple[float, bool]] = []  # and whether it was refused
        self.groups_s: deque[float] = deque()  # when groups come
        self.next_group_s = 0.0
        self.group_engines: dict[tuple[int, int], Engine] = {}
        # Since when companions are refused, and the longest such times.
        self.refused_since_s: dict[str, float] = {}
        self.refused_s: list[float] = []

    def run(self, duration_s: float) -> None:
        """Pass time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for engine in self.upstreams:
                self._run_engine(engine)
            for is_bad, rate in ((False, self.sound_per_s), (True, self.bad_per_s)):
                if self.random.random() < rate * STEP_S:
                    self._receive(self._new_request(is_bad))
            self._receive_groups()
            self._begin_trials()
            if self.random.random() < self.ends_per_s * STEP_S:
                self._crash(self.random.choice(self.upstreams))
            for name, tracker in self.trackers.items():
                self._gossip(name, tracker)

    def end_engines(self, share: float) -> None:
        """End a share of the engines at the same moment."""
        for engine in self.upstreams[: round(share * self.engines)]:
            if engine.down_until_s <= self.now_s:
                self._crash(engine)

    def receive_bad(self, count: int) -> None:
        """Let bad prompts come at the same time."""
        for _ in range(count):
            self._receive(self._new_request(True))

    def restart_nodes(self, share: float) -> None:
        """Restart a share of the nodes; they forget all that they know."""
        for name in list(self.trackers)[: round(share * self.nodes)]:
            self.trackers[name] = CrashTracker(trials=TrialLedger(name))

    def _new_request(self, is_bad: bool) -> Request:
        number = next(self.numbers)
        topic = f"topic{self.random.randrange(TOPICS)}"
        parts = [PART_PREFIX + part for part in (BASE_PART, topic)]
        if is_bad:
            parts.insert(1, self.random.choice(self.bad_causes))
        causes = PossibleCauses(f"{number}", tuple(parts))
        return Request(self.random.choice(list(self.trackers)), causes, is_bad)

    def _receive_groups(self) -> None:
        if self.guilty and self.now_s >= self.next_group_s:
            self.next_group_s += GROUP_INTERVAL_S
            self.groups_s += [self.now_s, self.now_s + CLIENT_RETRY_S]
        while self.groups_s and self.groups_s[0] <= self.now_s:
            self.groups_s.popleft()
            number, node = next(self.numbers), self.random.choice(list(self.trackers))
            base, beside = PART_PREFIX + BASE_PART, PART_PREFIX + BESIDE_PART
            members = [(name, (base,)) for name in self.guilty_causes]
            members += [(f"companion{n}", (base,)) for n in range(self.companions)]
            members += [
                (f"stranger{next(self.numbers)}", (base, beside))
                for _ in range(self.strangers)
            ]
            for name, parts in members:
                is_bad = name in self.guilty_causes
                causes = PossibleCauses(name, parts)
                self._receive(Request(node, causes, is_bad, group=number))

    def _receive(self, request: Request) -> None:
        tracker = self.trackers[request.node]
        self.all_causes.add(request.causes.all())
        is_refused = bool(tracker.remaining_quarantine_s(request.causes, self.now_s))
        if request.causes.digest.startswith("companion"):
            if is_refused:
                self.refused_since_s.setdefault(request.causes.digest, self.now_s)
        if not is_refused:
            self._count_sound(request, self.now_s, False)
            self._send(request)
        elif tracker.trial_due_in_s(request.causes, self.now_s) == 0:
            tracker.claim_trial(request.causes, self.now_s)
            self.claims.append((self.now_s + CLAIM_S, request))
        else:
            self._count_sound(request, self.now_s, True)

    def _count_sound(
        self, request: Request, arrived_s: float, is_refused: bool
    ) -> None:
        """Count whether a sound prompt was refused; one that is tried is served."""
        is_companion = request.causes.digest.startswith("companion")
        if not request.is_bad and not is_companion:
            self.sound_s.append((arrived_s, is_refused))

    def _begin_trials(self) -> None:
        claims, self.claims = self.claims, []
        for claim in claims:
            due_s, request = claim
            tracker = self.trackers[request.node]
            if due_s > self.now_s:
                self.claims.append(claim)
            elif not tracker.remaining_quarantine_s(request.causes, self.now_s):
                self._count_sound(request, due_s - CLAIM_S, False)
                self._send(request)
            elif tracker.may_begin_trial(request.causes, self.now_s):
                request.is_trial = True
                self._count_sound(request, due_s - CLAIM_S, False)
                self._send(request)
            elif self.now_s < due_s + MAX_TURN_WAIT_S:
                self.claims.append(claim)
            else:
                self._count_sound(request, due_s - CLAIM_S, True)

    def _send(self, request: Request) -> None:
        tracker = self.trackers[request.node]
        live = [e for e in self.upstreams if e.down_until_s <= self.now_s]
        if request.is_trial:
            tried = tracker.trial_instances(self.now_s)
            live = [engine for engine in live if engine.name not in tried]
        if not live:
            return
        request.attempts += 1
        duration_s = BEGIN_S if request.is_bad else self.answer_s
        request.progress_s = self.now_s + BEGIN_S + PROGRESS_INTERVAL_S
        for cause in self._true_causes(request):
            self.sent_s.setdefault(cause, []).append(self.now_s)
        engine = self._choose_engine(request, live)
        engine.open.append((self.now_s + duration_s, request))
        if request.is_trial:
            tracker.record_trial(request.causes, engine.run(), self.now_s)

    def _choose_engine(self, request: Request, live: list[Engine]) -> Engine:
        if request.group is None:
            return self.random.choice(live)
        if request.is_trial:
            return live[0]
        attempt = (request.group, request.attempts)
        if attempt not in self.group_engines:
            self.group_engines[attempt] = self.random.choice(live)
        return self.group_engines[attempt]

    def _run_engine(self, engine: Engine) -> None:
        due = [request for at_s, request in engine.open if at_s <= self.now_s]
        if any(request.is_bad for request in due):
            self._record_crash([request for request in due if request.is_bad])
            self._crash(engine)
            return
        engine.open = [entry for entry in engine.open if entry[0] > self.now_s]
        for _, request in engine.open:
            if self.now_s >= request.progress_s and not request.is_bad:
                request.progress_s += PROGRESS_INTERVAL_S
                tracker = self.trackers[request.node]
                tracker.record_answer(request.causes.parts, self.now_s)
        for request in due:
            tracker = self.trackers[request.node]
            tracker.record_answer(request.causes.all(), self.now_s)
            self._end_refusal(request.causes.digest)

    def _true_causes(self, request: Request) -> list[str]:
        causes = request.causes.all()
        return [c for c in (*self.bad_causes, *self.guilty_causes) if c in causes]

    def _record_crash(self, requests: list[Request]) -> None:
        causes = {c for request in requests for c in self._true_causes(request)}
        for cause in causes:
            self.crashes_s.setdefault(cause, []).append(self.now_s)

    def _end_refusal(self, digest: str) -> None:
        since_s = self.refused_since_s.pop(digest, self.now_s)
        self.refused_s.append(self.now_s - since_s)

    def _crash(self, engine: Engine) -> None:
        broken, engine.open = [request for _, request in engine.open], []
        ended = engine.run()
        if not self.keeps_names:
            engine.name = f"e{next(self.numbers)}"
        engine.down_until_s = self.now_s + RESTART_S
        engine.started_ms = round(engine.down_until_s * 1000)
        for request in broken:
            tracker = self.trackers[request.node]
            tracker.add_suspect(request.causes, ended, self.now_s)
            due_s = self.now_s + DETECTION_S * self.random.random()
            self.detections.append((due_s, request.node, ended.instance))
            may_retry = tracker.may_retry(request.causes, self.now_s)
            if may_retry and request.attempts < MAX_ATTEMPTS:
                self._send(request)

    def _deliver(self) -> None:
        for entry in [entry for entry in self.detections if entry[0] <= self.now_s]:
            self.detections.remove(entry)
            self.trackers[entry[1]].confirm_crashes(entry[2], self.now_s)
        while self.messages and self.messages[0][0] <= self.now_s:
            _, name, crashes, answers, trials = self.messages.popleft()
            self.trackers[name].merge(crashes, answers, self.now_s, trials)

    def _gossip(self, name: str, tracker: CrashTracker) -> None:
        others = [other for other in self.trackers if other != name]
        if self._is_due(SEND_INTERVAL_S) and tracker.has_reports():
            crashes = tracker.crash_reports(self.now_s)
            answers = tracker.answer_reports(self.now_s)
            self._post(others, crashes, answers, tracker.trials.reports(self.now_s))
        if self._is_due(EVIDENCE_INTERVAL_S) and not tracker.is_empty():
            count = min(EVIDENCE_RECEIVERS, len(others))
            evidence = tracker.evidence(self.now_s)
            trials = tracker.trial_evidence(self.now_s)
            self._post(self.random.sample(others, count), evidence, (), trials)

    def _is_due(self, interval_s: float) -> bool:
        return self.random.random() < STEP_S / interval_s

    def _post(
        self,
        receivers: list[str],
        crashes: tuple[CrashReport, ...],
        answers: tuple[AnswerReport, ...],
        trials: tuple[TrialReport, ...],
    ) -> None:
        due_s = self.now_s + MESSAGE_DELAY_S
        self.messages += [
            (due_s, name, crashes, answers, trials)
            for name in receivers
            if self.random.random() >= self.loss
        ]

    def stable_s(self) -> float:
        """Return from when requests with what crashes engines may reach none.

        That is later than the time in which crashes are detected and told, after the
        third crash of a request and the fifth of a part.
        """
        return max(self._stable_of_s(cause) for cause in self.crashes_s)

    def _stable_of_s(self, cause: str) -> float:
        is_part = cause.startswith(PART_PREFIX)
        first = CRASHES_TO_STABLE if is_part else REQUEST_CRASHES_TO_STABLE
        return self.crashes_s[cause][:first][-1] + STABLE_S

    def late_sends(self, restarts_s: Sequence[float]) -> int:
        """Return how many with one cause did, at most.

        Times after restarts of nodes don't count.
        """
        return max(
            sum(
                at_s > self._stable_of_s(cause)
                and not any(start <= at_s < start + STABLE_S for start in restarts_s)
                for at_s in self.sent_s[cause]
            )
            for cause in self.crashes_s
        )

    def longest_refusal_s(self) -> float:
        """Return how long a companion was refused at most, in seconds."""
        for digest in tuple(self.refused_since_s):
            self._end_refusal(digest)
        return max(self.refused_s, default=0.0)

    def refused_share(self, from_s: float) -> float:
        """Return the share of sound prompts that were refused from a time on."""
        results = [is_refused for at_s, is_refused in self.sound_s if at_s >= from_s]
        return sum(results) / max(1, len(results))
