"""Selection of an upstream with capacity for the next queued request."""

from dataclasses import replace

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import PlacementConfig
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.placement import Candidate, PlacementRequest, Placer
from lagoonhinge_core.prefill_forecast import PrefillForecast
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_node.candidates import find_candidates


class UpstreamSelector:
    """Finds upstreams with capacity, from work counts and forecast prefill progress."""

    def __init__(self, board: Blackboard, ledger: InFlightLedger, placer: Placer):
        self.board = board
        self.ledger = ledger
        self.placer = placer
        self.forecast = PrefillForecast()
        self.ledger_changes = 0

    def find(
        self, policy: PlacementConfig, placement: PlacementRequest, now_s: float
    ) -> Candidate | None:
        """Return an upstream that can start the request now, or `None`."""
        self._update_forecast(now_s)
        candidates = find_candidates(self.board, self.ledger, placement.service)
        placement = replace(
            placement, prefilled_tokens=self.forecast.prefilled_tokens(now_s)
        )
        return self.placer.choose(policy, candidates, placement)

    def has_candidates(self, service: str) -> bool:
        """Return whether any upstream of a service may receive new work."""
        return bool(find_candidates(self.board, self.ledger, service))

    def _update_forecast(self, now_s: float) -> None:
        """Update the forecast with the prefills that started or ended."""
        changed = self.ledger.changed_since(self.ledger_changes)
        if changed is None:
            changed = self.forecast.progress.keys() | self.ledger.by_upstream.keys()
        upstreams = self.board.read(ConfigSection).config.upstreams
        for name in changed:
            config = upstreams.get(name)
            if config is None:
                continue
            work = self.ledger.work(name)
            short_prefill_tokens = work.prefill_tokens - work.long_prefill_tokens
            self.forecast.update(
                name, short_prefill_tokens, config.prefill_tokens_per_s, now_s
            )
        self.ledger_changes = self.ledger.changes
