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
    """Upstreams of one service; a test starts and finishes attempts on them."""

    def __init__(self, names, kv_tokens=400_000):
        self.names = names
        self.kv_tokens = kv_tokens
        self.ledger = InFlightLedger()
        self.placer = Placer()
        self.started = 0

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the upstreams as placement candidates."""
        counts = [(name, self.ledger.work(name)) for name in self.names]
        return tuple(
            Candidate(name, "z", work, self.kv_tokens - work.tokens, self.kv_tokens)
            for name, work in counts
        )

    def start(self, name, tokens, output_tokens=16):
        """Count an attempt on an upstream."""
        self.started += 1
        is_long = tokens >= LengthAware().long_from_tokens
        item = WorkItem(name, tokens, tokens + output_tokens, is_long)
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

    def place(self, policy, tokens, **requirements) -> str | None:
        """Return the name of the upstream chosen for a prompt, if any."""
        request = PlacementRequest(tokens, 16, **requirements)
        candidate = self.placer.choose(policy, self.candidates(), request)
        return None if candidate is None else candidate.name
