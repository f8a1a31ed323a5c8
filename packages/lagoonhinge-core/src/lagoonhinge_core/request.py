"""Validated requests of callers, as handled by the request path."""

from dataclasses import dataclass

from lagoonhinge_core.engine_messages import Sampling
from lagoonhinge_core.plain_messages import PlainCall
from lagoonhinge_core.tokens import TokenEstimate


@dataclass(frozen=True)
class ModelRequest:
    """One request to a model service.

    Attributes:
        request_id: Identity in logs and answers.
        account: Name of the client account.
        service: Name of the model service.
        model: Name of the model.
        prompt: Text of the prompt.
        prompt_bytes: Its length in UTF-8, in bytes.
        estimate: Estimated work.
        seed: Sampling seed, so that every attempt gives the same answer.
        sampling: Sampling parameters.
        deadline_s: Deadline on the monotonic clock, in seconds.
        stall_timeout_s: Time without stream data before a probe, in seconds.
        idempotency_key: Key of the caller, if any; such a request is not idempotent.
        call_digest: Digest of a request with a key.
    """

    request_id: str
    account: str
    service: str
    model: str
    prompt: str
    prompt_bytes: int
    estimate: TokenEstimate
    seed: int
    sampling: Sampling
    deadline_s: float
    stall_timeout_s: float
    idempotency_key: str | None = None
    call_digest: str = ""


@dataclass(frozen=True)
class PlainRequest:
    """One request to a plain service.

    Attributes:
        request_id: Identity in logs and answers.
        account: Name of the client account.
        service: Name of the plain service.
        call: The call to send.
        idempotent: Whether it may be sent more than once.
        idempotency_key: The caller's key, if any.
        deadline_s: Deadline on the monotonic clock, in seconds.
    """

    request_id: str
    account: str
    service: str
    call: PlainCall
    idempotent: bool
    idempotency_key: str | None
    deadline_s: float
