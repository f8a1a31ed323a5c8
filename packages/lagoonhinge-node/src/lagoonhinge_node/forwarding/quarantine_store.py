"""Keeps the crashes behind quarantines in the platform's store.

Only the node that watches the store for its zone reads and writes there. It writes when
what it knows has changed, so the calls don't grow with the nodes, and there are none as
long as nothing is refused.
"""

from mode import Service
from msgspec import msgpack
from returns.result import Failure, Success

from lagoonhinge_core.decoding import DECODING_ERRORS
from lagoonhinge_core.forwarding.quarantine_evidence import (
    EvidenceContent,
    QuarantineEvidence,
)
from lagoonhinge_core.forwarding.site_store import (
    MAX_QUARANTINE_BYTES,
    QuarantineRows,
    SiteStore,
    StoreFault,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.store_watch import StoreWatch
from lagoonhinge_node.forwarding.task_guards import guarded_timer
from lagoonhinge_node.logs import PartLogger

# A crash in a trial follows the trial within this time, and a loss of power between
# them lets the trial be made again.
CHECK_INTERVAL_S = 0.5
# After a failed call; the store may be away, and the nodes tell each other meanwhile.
RETRY_S = 3.0

_ENCODER = msgpack.Encoder()
_DECODER = msgpack.Decoder(QuarantineEvidence)


class QuarantineStore(Service):
    """Restores quarantines when this node begins to watch the store, and stores them.

    Args:
        serving: State shared by all requests.
        store: The platform's store.
        watch: The watch of the store.
    """

    def __init__(self, serving: ServingState, store: SiteStore, watch: StoreWatch):
        super().__init__()
        self.serving = serving
        self.store = store
        self.watch = watch
        self.is_restored = False
        # What the store has under this zone's name, and in which era.
        self.stored: tuple[EvidenceContent, int] | None = None
        self.next_call_s = float("-inf")
        self.log_part = PartLogger("health")

    @Service.timer(CHECK_INTERVAL_S)
    @guarded_timer
    async def synchronize(self) -> None:
        """Read what is stored once, then store what has changed."""
        if not self.watch.role.is_watching:
            # Another node writes meanwhile.
            self.is_restored = False
        elif self.serving.clock() >= self.next_call_s:
            if self.is_restored:
                await self._store_changes()
            else:
                await self._restore()

    async def _restore(self) -> None:
        self.serving.store_calls += 1
        match await self.store.read_quarantines():
            case Success(rows):
                self.is_restored, self.stored = True, None
                for name, value in rows.values.items():
                    self._restore_value(name, value, rows)
            case Failure(fault):
                self._record_failure(fault)

    def _restore_value(self, name: str, value: bytes, rows: QuarantineRows) -> None:
        try:
            evidence = _DECODER.decode(value)
        except DECODING_ERRORS as error:
            self.log_part.warning(
                "Ignored unreadable quarantines of the store.",
                name=name,
                reason=str(error),
            )
            return
        if name == self.serving.zone:
            self.stored = evidence.content(), self.watch.store_replicas.era
        aged = evidence.at(rows.store_time_s)
        count = self.serving.crashes.restore(
            aged.crashes, aged.trials, self.serving.clock()
        )
        if count:
            self.log_part.info(
                "Read crashes behind quarantines in the store.", name=name, count=count
            )

    async def _store_changes(self) -> None:
        evidence = self._evidence()
        if evidence is None:
            return
        state = evidence.content(), self.watch.store_replicas.era
        if state == self.stored or (self.stored is None and not evidence.crashes):
            return
        self.serving.store_calls += 1
        match await self.store.store_quarantines(self.serving.zone, _encode(evidence)):
            case Success(_):
                self.stored = state
                self.log_part.info(
                    "Stored the crashes behind quarantines.",
                    count=len(evidence.crashes),
                    trials=len(evidence.trials),
                )
            case Failure(fault):
                self._record_failure(fault)

    def _evidence(self) -> QuarantineEvidence | None:
        """Return what is known now; `None` while the store's time is not."""
        crashes, now_s = self.serving.crashes, self.serving.clock()
        store_time_s = self.watch.clock.store_s(now_s)
        if store_time_s is None:
            return None
        if crashes.is_empty():
            return QuarantineEvidence(store_time_s)
        return QuarantineEvidence(
            store_time_s, crashes.evidence(now_s), crashes.trial_evidence(now_s)
        )

    def _record_failure(self, fault: StoreFault) -> None:
        self.next_call_s = self.serving.clock() + RETRY_S
        self.serving.store_contact.record_failure()
        self.log_part.warning(
            "A call to the store for quarantines failed.", reason=repr(fault)
        )


def _encode(evidence: QuarantineEvidence) -> bytes:
    """Return a value for the store, with the newest reports that fit into it.

    The names of parts in the reports are the callers', and may be long.
    """
    data = _ENCODER.encode(evidence)
    while len(data) > MAX_QUARANTINE_BYTES:
        evidence = evidence.newest_half()
        data = _ENCODER.encode(evidence)
    return data
