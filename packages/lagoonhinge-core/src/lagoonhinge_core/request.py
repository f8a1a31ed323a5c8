"""Requests of callers after they were checked, as the request path handles them."""

from dataclasses import dataclass

from lagoonhinge_core.engine_messages import Sampling
from lagoonhinge_core.plain_messages import PlainCall
from lagoonhinge_core.tokens import TokenEstimate


@dataclass(frozen=True)
class ModelRequest:
    """One request for a model's answer.

    Attributes:
        request_id: Identity for logs and answers.
        account: Name of the client account.
        service: Name of the model service.
        model: Name of the model.
        prompt: Text of the prompt.
        prompt_bytes: Its length in UTF-8, in bytes.
        estimate: Estimated work.
        seed: Sampling seed, so that another attempt gives the same answer.
        sampling: How tokens are drawn.
        deadline_s: End of the time bound on the monotonic clock.
        stall_timeout_s: Silence on a stream before it is probed, in seconds.
        idempotency_key: The caller's key, if any; such a request is not idempotent.
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
    """One call of a plain service.

    Attributes:
        request_id: Identity for logs and answers.
        account: Name of the client account.
        service: Name of the plain service.
        call: What to send.
        idempotent: Whether it may be sent more than once.
        idempotency_key: The caller's key, if any.
        deadline_s: End of the time bound on the monotonic clock.
    """

    request_id: str
    account: str
    service: str
    call: PlainCall
    idempotent: bool
    idempotency_key: str | None
    deadline_s: float
