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
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


@dataclass(frozen=True)
class ClaimAttempt:
    """What came of an arrival.

    Attributes:
        result: `ClaimHeld`, `ClaimAnswered` or `ClaimRefused`.
        fence_version: Version of the row at which a write of this arrival may still
            be applied although the claim is not held; `None` if none can.
    """

    result: ClaimHeld | ClaimAnswered | ClaimRefused
    fence_version: int | None = None


class ClaimStore:
    """Reads and writes claim rows."""

    def __init__(self, table: TableStore, objects: ObjectStore, clock: Clock):
        self.table = table
        self.objects = objects
        self.clock = clock

    async def claim(self, key: ClaimKey, wanted: Claim, bound_s: float) -> ClaimAttempt:
        """Try to hold a claim.

        Args:
            key: What is claimed.
            wanted: The running claim, with this arrival's own token.
            bound_s: Longest time to try, in seconds.

        Returns:
            Whether it is held, and what else the arrival is to be told.
        """
        attempt = _ClaimWrites(self, key, wanted)
        try:
            async with timeout(bound_s):
                return await attempt.run()
        except TimeoutError:
            return attempt.unavailable(f"no answer within {bound_s:.1f} s")

    async def settle(
        self, key: ClaimKey, settled: Claim, version: int, until_s: float
    ) -> bool:
        """Store the outcome of a claim, again and again until it is surely stored.

        Args:
            key: What was claimed.
            settled: The final claim of this owner.
            version: Version of the row to write at.
            until_s: When to give up, on the monotonic clock.

        Returns:
            Whether the row holds the outcome, or moved on to another owner.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            match await self._settle_once(key, settled, version):
                case Success(None):
                    return True
                case Success(next_version):
                    version = next_version
                    continue
            if self.clock.monotonic_s() >= until_s:
                return False
            await sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

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

    def judge(self, row: Row, wanted: Claim) -> ClaimDecision:
        """Decide what an arrival may do at a row."""
        found = _decode_claim(row)
        return decide_claim(found, row.version, wanted, self.clock.wall_s())

    async def _settle_once(
        self, key: ClaimKey, settled: Claim, version: int
    ) -> Result[int | None, Unavailable]:
        """Return success with `None` once settled, or with the version to write at."""
        match await self._store_body(key, settled):
            case Failure(unavailable):
                return Failure(unavailable)
            case Success(final):
                value = encode(final).decode()
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
        in_row = replace(answer, body=b"", object_name=name)
        stored = await self.objects.put(name, answer.body)
        return stored.map(lambda _: settled.answered(in_row))


class _ClaimWrites:
    """The writes of one arrival, which all carry the same token and content."""

    def __init__(self, store: ClaimStore, key: ClaimKey, wanted: Claim):
        self.store = store
        self.row_key = key.row_key()
        self.wanted = wanted
        self.value = encode(wanted).decode()
        self.version = 0
        self.may_be_applied = False

    async def run(self) -> ClaimAttempt:
        for _ in range(MAX_CLAIM_WRITES):
            match await self._write():
                case Claimable(version):
                    # A write that is still under way loses at any other version, and
                    # at the same one it is this very write, so repeating it is safe.
                    if version != self.version:
                        self.may_be_applied = False
                    self.version = version
                case ClaimHeld() | ClaimAnswered() | ClaimRefused() as result:
                    return ClaimAttempt(result)
                case Unavailable(reason):
                    return self.unavailable(reason)
        return self.unavailable("the claim was contended")

    def unavailable(self, reason: str) -> ClaimAttempt:
        failure = RequestFailure(
            ErrorCode.STORE_UNAVAILABLE,
            Outcome.NOT_RUN,
            f"the claim was not stored: {reason}",
            STORE_RETRY_AFTER_S,
        )
        fence_version = self.version if self.may_be_applied else None
        return ClaimAttempt(ClaimRefused(failure), fence_version)

    async def _write(self) -> ClaimDecision | Unavailable:
        was_uncertain = self.may_be_applied
        self.may_be_applied = True  # until the answer, also if the wait is cut short
        match await self._write_once():
            case Success(row):
                return ClaimHeld(row.version)
            case Failure(Conflict(row)):
                return self.store.judge(row, self.wanted)
            case Failure(Unavailable(reason, False)):
                self.may_be_applied = was_uncertain
                return Unavailable(reason, was_uncertain)
        match await self.store.table.read(self.row_key):
            case Success(row):
                return self.store.judge(row, self.wanted)
            case Failure(Unavailable() as unavailable):
                return unavailable
        raise AssertionError("not a result")

    async def _write_once(self) -> Result[Row, WriteError]:
        # A pooled connection may have gone silent; another one gets the next try.
        try:
            async with timeout(WRITE_TIMEOUT_S):
                return await self.store.table.write(
                    self.row_key, self.value, self.version
                )
        except TimeoutError:
            return Failure(Unavailable(f"no answer in {WRITE_TIMEOUT_S} s", True))


def _decode_claim(row: Row) -> Claim | None:
    return decode(row.value, Claim) if row.version else None
