"""Room on upstreams: where the next request in line may start now."""

from dataclasses import replace

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import PlacementConfig
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.placement import Candidate, PlacementRequest, Placer
from lagoonhinge_core.prefill_forecast import PrefillForecast
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_node.candidates import find_candidates


class UpstreamRoom:
    """Finds upstreams with room, from counts and the forecast of their progress."""

    def __init__(self, board: Blackboard, ledger: InFlightLedger, placer: Placer):
        self.board = board
        self.ledger = ledger
        self.placer = placer
        self.forecast = PrefillForecast()
        self.changes = 0

    def find(
        self, policy: PlacementConfig, wanted: PlacementRequest, now_s: float
    ) -> Candidate | None:
        """Return an upstream that may start the request now, or `None`."""
        self._follow_progress(now_s)
        candidates = find_candidates(self.board, self.ledger, wanted.service)
        wanted = replace(wanted, prefilled_tokens=self.forecast.prefilled_tokens(now_s))
        return self.placer.choose(policy, candidates, wanted)

    def is_served(self, service: str) -> bool:
        """Return whether any upstream may receive new work of a service."""
        return bool(find_candidates(self.board, self.ledger, service))

    def _follow_progress(self, now_s: float) -> None:
        """Let the forecast follow the prompts that began or were done."""
        changed = self.ledger.changed_since(self.changes)
        if changed is None:
            changed = self.forecast.progress.keys() | self.ledger.by_upstream.keys()
        upstreams = self.board.read(ConfigSection).config.upstreams
        for name in changed:
            config = upstreams.get(name)
            if config is None:
                continue
            work = self.ledger.work(name)
            shorts = work.prefill_tokens - work.long_prefill_tokens
            self.forecast.update(name, shorts, config.prefill_tokens_per_s, now_s)
        self.changes = self.ledger.changes
