"""Exchange of crashes of upstreams between all nodes.

A crash is sent to all nodes when it is detected. Behind a quarantine, it is also sent
to a few nodes at random from time to time, for those that were cut off or started
later. Trials are sent with both, so that nodes make one at a time.
"""

from mode import Service

from lagoonhinge_core.forwarding.crash_limits import GOSSIP_DURATION_S
from lagoonhinge_core.forwarding.load_tracker import update_interval_factor
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_node.forwarding.peer_messages import (
    CrashUpdate,
    PeerMessage,
    PeerSocket,
    encode_message,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.task_guards import guarded_timer
from lagoonhinge_node.logs import PartLogger

SEND_INTERVAL_S = 0.1
MAX_SEND_INTERVAL_S = GOSSIP_DURATION_S / 3  # with many nodes; each report goes thrice
EVIDENCE_INTERVAL_S = 1.0
# From all senders together, each node gets so many updates per interval.
EVIDENCE_RECEIVERS = 3


class CrashExchange(Service):
    """Sends crashes that this node detected, and receives those of its peers.

    Args:
        serving: State shared by all requests.
        socket: Sends messages to other nodes.
    """

    def __init__(self, serving: ServingState, socket: PeerSocket):
        super().__init__()
        self.serving = serving
        self.socket = socket
        self.nodes: list[NodeEntry] = []
        self.last_sent_s = float("-inf")
        self.known_causes: tuple[frozenset[str], ...] = ()
        self.log_part = PartLogger("health")

    def set_peers(self, nodes: list[NodeEntry]) -> None:
        """Replace the list of other nodes."""
        self.nodes = nodes

    @Service.timer(SEND_INTERVAL_S)
    @guarded_timer
    async def send_reports(self) -> None:
        """Send new crashes, answers that contradict others, and trials, to all."""
        crashes, now_s = self.serving.crashes, self.serving.clock()
        factor = update_interval_factor(len(self.nodes))
        interval_s = min(SEND_INTERVAL_S * factor, MAX_SEND_INTERVAL_S)
        # Timers fire slightly early or late.
        if not crashes.has_reports() or now_s - self.last_sent_s < interval_s * 0.9:
            return
        self.last_sent_s = now_s
        update = CrashUpdate(
            crashes.crash_reports(now_s),
            crashes.answer_reports(now_s),
            crashes.trials.reports(now_s),
        )
        if update.crashes or update.answers or update.trials:
            self._send(update, self.nodes)

    @Service.timer(SEND_INTERVAL_S)
    @guarded_timer
    async def log_quarantines(self) -> None:
        """Log causes whose requests are refused from now on, or no longer."""
        crashes, now_s = self.serving.crashes, self.serving.clock()
        causes = () if crashes.is_empty() else crashes.quarantined(now_s)
        for cause in causes:
            if cause not in self.known_causes:
                self.log_part.warning(
                    "Requests are refused, since requests like them crash upstreams.",
                    causes=sorted(cause),
                    upstreams=crashes.upstreams_of(cause),
                )
        for cause in self.known_causes:
            if cause not in causes:
                # Without upstreams, answers contradicted the crashes, or they are old;
                # otherwise the crashes are only attributed differently.
                self.log_part.info(
                    "Requests are no longer refused for crashes.",
                    causes=sorted(cause),
                    upstreams=crashes.upstreams_of(cause),
                )
        self.known_causes = causes

    @Service.timer(EVIDENCE_INTERVAL_S)
    @guarded_timer
    async def send_evidence(self) -> None:
        """Send the crashes behind the quarantines to a few nodes."""
        crashes = self.serving.crashes
        if crashes.is_empty():
            return
        now_s = self.serving.clock()
        evidence = crashes.evidence(now_s)
        if evidence:
            count = min(EVIDENCE_RECEIVERS, len(self.nodes))
            receivers = self.serving.random.sample(self.nodes, count)
            trials = crashes.trial_evidence(now_s)
            self._send(CrashUpdate(evidence, trials=trials), receivers)

    def _send(self, update: CrashUpdate, receivers: list[NodeEntry]) -> None:
        data = encode_message(PeerMessage(crashes=update))
        self.socket.send(data, [node.peer_address() for node in receivers])

    def receive(self, message: PeerMessage) -> None:
        """Apply the crashes in a message, if it has any."""
        update = message.crashes
        if update is not None:
            self.serving.crashes.merge(
                update.crashes, update.answers, self.serving.clock(), update.trials
            )
