"""Memory reservations of an attempt: reserved, renewed while in use, and released.

The lease is short, so that memory is free soon after its node crashed, and is renewed
for the duration of the attempt.
"""

from asyncio import Task, create_task, gather, sleep
from collections import Counter
from collections.abc import Iterable

from returns.result import Failure, Success

from lagoonhinge_core.forwarding.messages import EngineMemory
from lagoonhinge_core.forwarding.prompt_placement import MemoryReservation
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

LEASE_S = 3.5  # under the 4 s after which unused memory counts as leaked
RENEW_INTERVAL_S = 1.0  # two renewals may fail
# Renewals in a row at which the answering engine is unreachable before its memory is
# released; probes of the engine in between may reach it.
UNREACHABLE_RENEWALS = 2
RELEASE_ATTEMPTS = 3
RELEASE_RETRY_DELAY_S = 0.3


class AttemptMemory:
    """Memory reservations of an attempt.

    Args:
        serving: State shared by all requests.
        memory: Client of the engines' memory.
        reservation_id: Id of the reservations; unique to this attempt.
        answering: The engine that answers the prompt.
    """

    def __init__(
        self,
        serving: ServingState,
        memory: EngineMemory,
        reservation_id: str,
        answering: Upstream,
    ):
        self.serving = serving
        self.memory = memory
        self.reservation_id = reservation_id
        self.answering = answering
        self.reserved: list[tuple[Upstream, int]] = []
        self.renewal: Task[None] | None = None
        self.log_part = PartLogger("memory")

    async def reserve(self, reservations: Iterable[MemoryReservation]) -> bool:
        """Reserve memory on all engines; returns whether all of them succeed."""
        upstreams = self.serving.directory.by_instance
        for reservation in reservations:
            upstream = upstreams.get(reservation.instance)
            if upstream is None:
                return False
            # Counted before the engine's answer, which may be lost.
            self.reserved.append((upstream, reservation.tokens))
            self.serving.load.add_reserved(upstream.instance, reservation.tokens)
        results = await gather(*(self._reserve_one(*entry) for entry in self.reserved))
        if not all(results):
            return False
        self.renewal = create_task(self._renew())
        self.serving.memory_users[self.answering.instance] += 1
        return True

    def release(self) -> None:
        """Release all reservations in the background, with a few retries."""
        if self.renewal is not None:
            self.renewal.cancel()
            self.renewal = None
            self.serving.memory_users -= Counter((self.answering.instance,))
        for upstream, tokens in self.reserved:
            self.serving.load.add_reserved(upstream.instance, -tokens)
            self.serving.run_in_background(self._release_one(upstream))
        self.reserved = []

    async def _reserve_one(self, upstream: Upstream, tokens: int) -> bool:
        match await self.memory.reserve(
            upstream.address(), self.reservation_id, tokens, LEASE_S
        ):
            case Success(_):
                return True
            case Failure(reason):
                self.log_part.info(
                    "An engine refused a memory reservation or its renewal.",
                    upstream=upstream.instance,
                    ticket=self.reservation_id,
                    tokens=tokens,
                    reason=reason,
                )
                return False
        raise AssertionError("not a result")

    async def _renew(self) -> None:
        """Renew the leases; release them if the answering engine stays unreachable.

        An engine that ended without closing its connections uses them no longer, while
        the attempt still waits for its answer.
        """
        unreachable = 0
        while True:
            await sleep(RENEW_INTERVAL_S)
            is_unreachable = self.serving.health.is_unreachable(self.answering.instance)
            unreachable = unreachable + 1 if is_unreachable else 0
            if unreachable >= UNREACHABLE_RENEWALS:
                self.log_part.info(
                    "The answering engine is unreachable; releasing its memory.",
                    upstream=self.answering.instance,
                    ticket=self.reservation_id,
                )
                self.release()
                return
            await gather(*(self._reserve_one(*entry) for entry in self.reserved))

    async def _release_one(self, upstream: Upstream) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            match await self.memory.release(upstream.address(), self.reservation_id):
                case Success(_):
                    return
                case Failure(reason):
                    self.log_part.info(
                        "Releasing a memory reservation failed.",
                        upstream=upstream.instance,
                        ticket=self.reservation_id,
                        reason=reason,
                    )
            await sleep(RELEASE_RETRY_DELAY_S)
        self.log_part.warning(
            "Gave up releasing a memory reservation; its lease will expire.",
            upstream=upstream.instance,
            ticket=self.reservation_id,
        )
