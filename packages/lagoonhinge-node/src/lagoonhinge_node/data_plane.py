"""The request path of a node: admission, models, plain services and the caller API."""

from typing import Any

from mode.types import ServiceT

from lagoonhinge_node.admission import Admission
from lagoonhinge_node.admission_controller import AdmissionController, peer_addresses
from lagoonhinge_node.admission_lanes import queue_depths
from lagoonhinge_node.cache_controller import CacheController
from lagoonhinge_node.caller_api import CallerApi
from lagoonhinge_node.caller_requests import RequestReader
from lagoonhinge_node.claim_store import ClaimStore
from lagoonhinge_node.claimed_calls import ClaimedCalls
from lagoonhinge_node.keyed_completions import KeyedCompletions
from lagoonhinge_node.model_path import ModelPath
from lagoonhinge_node.plain_client import HttpPlainClient
from lagoonhinge_node.plain_path import PlainPath
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.shared_components import SharedComponents


class DataPlane:
    """Builds the request path.

    Args:
        shared: Components that the controllers use as well.
        poison: Controller of quarantined prompts.
    """

    def __init__(self, shared: SharedComponents, poison: PoisonController):
        self.shared = shared
        board, clock, metrics = shared.board, shared.clock, shared.metrics
        self.admission = Admission(board, shared.ledger, clock)
        self.admission_controller = self._admission_controller()
        self.cache = CacheController(board, shared.engines, self.admission.prefixes)
        self.models = ModelPath(
            board,
            shared.engines,
            clock,
            self.admission,
            shared.ledger,
            shared.releases,
            shared.estimator,
            poison,
        )
        self.models.on_admitted.append(metrics.queue.observe)
        self.models.on_attempt.append(metrics.observe_attempt)
        claims = ClaimStore(shared.platform, shared.platform, clock)
        self.claimed_calls = ClaimedCalls(claims, clock, metrics)
        self.plain_client = HttpPlainClient(shared.session)

    def services(self) -> list[ServiceT]:
        """Return the services in the order of their start."""
        return [self.claimed_calls, self.admission_controller, self.cache]

    def caller_api(self) -> CallerApi:
        """Return the caller API."""
        shared = self.shared
        plain = PlainPath(
            shared.board,
            self.plain_client,
            shared.clock,
            shared.ledger,
            self.claimed_calls,
            self.models.budget,
        )
        return CallerApi(
            shared.board,
            RequestReader(shared.board, shared.clock, shared.estimator),
            KeyedCompletions(self.models, self.claimed_calls),
            plain,
            shared.metrics,
        )

    def live_state(self) -> dict[str, Any]:
        """Return the counts that change with every request, for the state dump."""
        budget = self.models.budget
        return {
            "RetryAllowances": {
                name: budget.allowance(name) for name in budget.remaining
            },
            "InFlightWork": self.shared.ledger.snapshot(),
            "AdmittedRequests": len(self.admission.admitted),
            "QueuedRequests": queue_depths(self.admission.queued.values()),
            "ClaimTasks": len(self.claimed_calls.tasks),
            "PendingReleases": sorted(r.name for r in self.shared.releases.pending),
        }

    def _admission_controller(self) -> AdmissionController:
        settings = self.shared.settings
        peers = peer_addresses(
            tuple(str(peer) for peer in settings.peers), str(settings.control_listen)
        )
        return AdmissionController(
            self.shared.board, self.admission, self.shared.clock, peers
        )
