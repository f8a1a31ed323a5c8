"""Claims in the platform's table, with large answers in its object store."""

from asyncio import sleep, timeout
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from lagoonhinge_core.claims import (
    Claim,
    Claimable,
    ClaimAnswered,
    ClaimDecision,
    ClaimHeld,
    ClaimKey,
    ClaimRefused,
    StoredAnswer,
    decide_claim,
    settle_version,
)
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.ports import Clock, ObjectStore, TableStore
from lagoonhinge_core.store_messages import Conflict, Row, Unavailable, WriteError
from lagoonhinge_http.wire import decode, encode

MAX_ROW_BODY_BYTES = 16_384
MAX_CLAIM_WRITES = 4
WRITE_TIMEOUT_S = 1.0
STORE_RETRY_AFTER_S = 2.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


@dataclass(frozen=True)
class ClaimResult:
    """Result of one request's try to hold a claim.

    Attributes:
        decision: `ClaimHeld`, `ClaimAnswered` or `ClaimRefused`.
        fence_version: Version of the row at which a write of this request may still
            be applied although the claim is not held; `None` if none can.
    """

    decision: ClaimHeld | ClaimAnswered | ClaimRefused
    fence_version: int | None = None


class ClaimStore:
    """Reads and writes claim rows."""

    def __init__(self, table: TableStore, objects: ObjectStore, clock: Clock):
        self.table = table
        self.objects = objects
        self.clock = clock

    async def claim(
        self, key: ClaimKey, requested: Claim, timeout_s: float
    ) -> ClaimResult:
        """Try to hold a claim.

        Args:
            key: What is claimed.
            requested: The running claim, with this request's own token.
            timeout_s: Longest time to try, in seconds.

        Returns:
            Whether it is held, and otherwise the stored answer or the failure.
        """
        writer = _ClaimWriter(self, key, requested)
        try:
            async with timeout(timeout_s):
                return await writer.run()
        except TimeoutError:
            return writer.unavailable(f"no answer within {timeout_s:.1f} s")

    async def settle(
        self, key: ClaimKey, settled: Claim, version: int, deadline_s: float
    ) -> bool:
        """Store the outcome of a claim, with retries until it is surely stored.

        Args:
            key: What was claimed.
            settled: The final claim of this owner.
            version: Version of the row to write at.
            deadline_s: When to stop retrying, on the monotonic clock, in seconds.

        Returns:
            Whether the row holds the outcome or belongs to another owner.
        """
        backoff_s = MIN_BACKOFF_S
        while True:
            match await self._settle_once(key, settled, version):
                case Success(None):
                    return True
                case Success(next_version):
                    version = next_version
                    continue
            if self.clock.monotonic_s() >= deadline_s:
                return False
            await sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def load_answer(
        self, stored: StoredAnswer
    ) -> Result[StoredAnswer, RequestFailure]:
        """Return a stored answer with its body."""
        if not stored.object_name:
            return Success(stored)
        match await self.objects.get(stored.object_name):
            case Success(body):
                return Success(replace(stored, body=body))
            case Failure(error):
                return Failure(
                    RequestFailure(
                        ErrorCode.STORE_UNAVAILABLE,
                        Outcome.UNKNOWN,
                        f"the request has run; its stored answer was not read: {error}",
                        STORE_RETRY_AFTER_S,
                    )
                )
        raise AssertionError("not a result")

    def decide(self, row: Row, requested: Claim) -> ClaimDecision:
        """Decide from a row what a request may do."""
        stored_claim = _decode_claim(row)
        return decide_claim(stored_claim, row.version, requested, self.clock.wall_s())

    async def _settle_once(
        self, key: ClaimKey, settled: Claim, version: int
    ) -> Result[int | None, Unavailable]:
        """Return success with `None` once settled, or with the version to write at."""
        match await self._store_body(key, settled):
            case Failure(unavailable):
                return Failure(unavailable)
            case Success(claim_to_store):
                value = encode(claim_to_store).decode()
        match await self.table.write(key.row_key(), value, version):
            case Failure(Conflict(row)):
                return Success(settle_version(_decode_claim(row), row.version, settled))
            case Failure(Unavailable() as unavailable):
                return Failure(unavailable)
        return Success(None)

    async def _store_body(
        self, key: ClaimKey, settled: Claim
    ) -> Result[Claim, Unavailable]:
        answer = settled.answer
        if answer is None or len(answer.body) <= MAX_ROW_BODY_BYTES:
            return Success(settled)
        name = key.object_name(settled.token)
        row_answer = replace(answer, body=b"", object_name=name)
        stored = await self.objects.put(name, answer.body)
        return stored.map(lambda _: settled.answered(row_answer))


class _ClaimWriter:
    """Writes the claim of one request, always with the same token and content."""

    def __init__(self, store: ClaimStore, key: ClaimKey, requested: Claim):
        self.store = store
        self.row_key = key.row_key()
        self.requested = requested
        self.value = encode(requested).decode()
        self.version = 0
        self.may_be_applied = False

    async def run(self) -> ClaimResult:
        for _ in range(MAX_CLAIM_WRITES):
            match await self._write():
                case Claimable(version):
                    # A write still in progress fails at any other version, and at the
                    # same version it equals the next one, so repeating it is safe.
                    if version != self.version:
                        self.may_be_applied = False
                    self.version = version
                case ClaimHeld() | ClaimAnswered() | ClaimRefused() as decision:
                    return ClaimResult(decision)
                case Unavailable(reason):
                    return self.unavailable(reason)
        return self.unavailable("the claim was contended")

    def unavailable(self, reason: str) -> ClaimResult:
        failure = RequestFailure(
            ErrorCode.STORE_UNAVAILABLE,
            Outcome.NOT_RUN,
            f"the claim was not stored: {reason}",
            STORE_RETRY_AFTER_S,
        )
        fence_version = self.version if self.may_be_applied else None
        return ClaimResult(ClaimRefused(failure), fence_version)

    async def _write(self) -> ClaimDecision | Unavailable:
        might_be_applied_before = self.may_be_applied
        self.may_be_applied = True  # until the reply, also if the wait is cancelled
        match await self._write_once():
            case Success(row):
                return ClaimHeld(row.version)
            case Failure(Conflict(row)):
                return self.store.decide(row, self.requested)
            case Failure(Unavailable(reason, False)):
                self.may_be_applied = might_be_applied_before
                return Unavailable(reason, might_be_applied_before)
        match await self.store.table.read(self.row_key):
            case Success(row):
                return self.store.decide(row, self.requested)
            case Failure(Unavailable() as unavailable):
                return unavailable
        raise AssertionError("not a result")

    async def _write_once(self) -> Result[Row, WriteError]:
        # A pooled connection may be dead; the next try uses another one.
        try:
            async with timeout(WRITE_TIMEOUT_S):
                return await self.store.table.write(
                    self.row_key, self.value, self.version
                )
        except TimeoutError:
            return Failure(Unavailable(f"no answer in {WRITE_TIMEOUT_S} s", True))


def _decode_claim(row: Row) -> Claim | None:
    return decode(row.value, Claim) if row.version else None
