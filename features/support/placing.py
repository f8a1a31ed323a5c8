"""Upstreams and prompts for placement scenarios."""

from lagoonhinge_core.config import LeastInFlight, LengthAware, RoundRobin
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.placement import (
    Candidate,
    PlacementRequest,
    Placer,
    engine_priority,
)

SHORT_TOKENS = 2_000
LONG_TOKENS = 120_000
POLICIES = {
    "length_aware": LengthAware(),
    "round_robin": RoundRobin(),
    "least_in_flight": LeastInFlight(),
}


class Zone:
    """Upstreams of one service whose work only grows."""

    def __init__(self, names, kv_tokens=400_000):
        self.names = names
        self.kv_tokens = kv_tokens
        self.ledger = InFlightLedger()
        self.placer = Placer()
        self.started = 0

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the upstreams as placement sees them."""
        works = [(name, self.ledger.work(name)) for name in self.names]
        return tuple(
            Candidate(name, "z", work, self.kv_tokens - work.tokens, self.kv_tokens)
            for name, work in works
        )

    def start(self, name, tokens, output=16):
        """Count a prompt on an upstream."""
        self.started += 1
        long = tokens >= LengthAware().long_from_tokens
        item = WorkItem(name, tokens, tokens + output, long)
        attempt = f"a-{self.started}"
        self.ledger.start(attempt, item)
        return attempt

    def tokens_before_short(self, policy, name) -> int:
        """Return the prompt tokens that an engine processes before a short prompt."""
        work = self.ledger.work(name)
        long_priority = engine_priority(policy, LONG_TOKENS, 0.0)
        if engine_priority(policy, SHORT_TOKENS, 0.0) < long_priority:
            return work.prefill_tokens - work.long_prefill_tokens
        return work.prefill_tokens

    def place(self, policy, tokens, **wanted) -> str | None:
        """Return the name of the upstream that a prompt would go to."""
        request = PlacementRequest(tokens, 16, **wanted)
        choice = self.placer.choose(policy, self.candidates(), request)
        return None if choice is None else choice.name
