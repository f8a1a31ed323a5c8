"""The configuration as frozen data classes, with value constraints and units."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Literal, TypeAlias

from msgspec import Meta

Positive: TypeAlias = Annotated[float, Meta(gt=0)]
NotNegative: TypeAlias = Annotated[float, Meta(ge=0)]
Share: TypeAlias = Annotated[float, Meta(ge=0, le=1)]
Count: TypeAlias = Annotated[int, Meta(ge=1)]
KeyDigest: TypeAlias = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Name: TypeAlias = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Url: TypeAlias = Annotated[str, Meta(pattern="^https?://[^/ ]+$")]


class UpstreamMode(StrEnum):
    """Whether an upstream may receive new work."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True)
class ModelConfig:
    """One model.

    Attributes:
        bytes_per_token: Initial value for token estimates, in bytes per token.
        max_prompt_tokens: Longest prompt the model accepts, in tokens.
    """

    bytes_per_token: Positive = 4.0
    max_prompt_tokens: Count = 1_000_000


@dataclass(frozen=True)
class TimeBound:
    """Longest time a request may take: a base plus a part per thousand tokens."""

    base_s: Positive = 30.0
    per_thousand_tokens_s: NotNegative = 0.5

    def bound_s(self, tokens: int) -> float:
        """Return the bound for `tokens` of work, in seconds."""
        return self.base_s + self.per_thousand_tokens_s * tokens / 1000


@dataclass(frozen=True)
class RoundRobin:
    """Baseline placement: the upstreams in rotation."""

    kind: Literal["round_robin"] = "round_robin"


@dataclass(frozen=True)
class LeastInFlight:
    """Baseline placement: the upstream with the fewest requests in flight."""

    kind: Literal["least_in_flight"] = "least_in_flight"


@dataclass(frozen=True)
class LengthAware:
    """Placement that keeps short prompts from waiting behind long ones.

    Attributes:
        long_from_tokens: Prompts of at least this many tokens are long.
        short_only_share: Least share of each zone's upstreams kept free of long work.
        long_preference: 0 favours low slowdown of short requests, 1 low time to first
            token of long ones.
        prefix_affinity: Weight of a cached prefix relative to load.
    """

    kind: Literal["length_aware"] = "length_aware"
    long_from_tokens: Count = 32_000
    short_only_share: Share = 0.25
    long_preference: Share = 0.5
    prefix_affinity: NotNegative = 1.0


PlacementConfig: TypeAlias = RoundRobin | LeastInFlight | LengthAware


@dataclass(frozen=True)
class ModelService:
    """A service answered by model engines.

    Attributes:
        model: Name of the model, a key of `models`.
        time_bound: Cap on the timeout of every request.
        placement: How requests are distributed over upstreams.
        max_queued_requests: Bound of each node's queue, in requests.
        stall_timeout_s: Time without data before a stream is probed, in seconds.
    """

    model: Name
    kind: Literal["model"] = "model"
    time_bound: TimeBound = TimeBound()
    placement: PlacementConfig = LengthAware()
    max_queued_requests: Count = 1000
    stall_timeout_s: Positive = 5.0


@dataclass(frozen=True)
class PlainService:
    """A plain HTTP service behind `/services/NAME/`.

    Attributes:
        time_bound: Cap on the timeout of every request; the per-token part is unused.
        idempotent_methods: Methods whose calls may be repeated.
        max_answer_bytes: Longest answer that is relayed, in bytes.
    """

    kind: Literal["plain"] = "plain"
    time_bound: TimeBound = TimeBound(base_s=30.0, per_thousand_tokens_s=0.0)
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    max_answer_bytes: Count = 1_048_576


ServiceConfig: TypeAlias = ModelService | PlainService


@dataclass(frozen=True)
class AccountConfig:
    """One client account.

    Attributes:
        key_sha256: SHA-256 of the account's bearer key, in hexadecimal.
        weight: Share of contended capacity relative to other accounts.
        tokens_per_s: Rate limit over the whole site, in tokens per second.
        burst_s: Time for which unused rate accumulates, in seconds.
    """

    key_sha256: KeyDigest
    weight: Positive = 1.0
    tokens_per_s: Positive = 1_000_000.0
    burst_s: Positive = 10.0


@dataclass(frozen=True)
class UpstreamConfig:
    """One upstream: a model engine or a plain service instance.

    Attributes:
        url: Scheme, host and port.
        zone: Availability zone it runs in.
        service: Name of the service it serves, a key of `services`.
        generation: Increased when a new upstream reuses the address.
        kv_tokens: Size of the KV cache, in tokens; 0 for plain services.
        prefill_tokens_per_s: Nominal prompt processing rate, in tokens per second.
        checks_fencing: Whether it refuses orders with an old fencing number.
        mode: Whether it may receive new work.
    """

    url: Url
    zone: Name
    service: Name
    generation: Count = 1
    kv_tokens: Annotated[int, Meta(ge=0)] = 0
    prefill_tokens_per_s: Positive = 20_000.0
    checks_fencing: bool = True
    mode: UpstreamMode = UpstreamMode.ACTIVE


@dataclass(frozen=True)
class DesiredModel:
    """State that the upstreams of a service are ordered to reach.

    Attributes:
        version: Version of the model's weights.
        adapters: Adapters loaded beside the model.
        role: Engine role.
    """

    version: str
    adapters: tuple[str, ...] = ()
    role: Literal["mixed", "prefill", "decode"] = "mixed"


@dataclass(frozen=True)
class RetryConfig:
    """Limits on repeated attempts.

    Attributes:
        max_attempts: Total attempts for one request.
        budget_share: Retries allowed as a share of recent successes.
    """

    max_attempts: Count = 3
    budget_share: Share = 0.1


@dataclass(frozen=True)
class LimitsConfig:
    """Bounds that protect the node itself.

    Attributes:
        max_body_bytes: Longest request body, in bytes.
        max_in_flight_requests: Requests served concurrently by one node.
    """

    max_body_bytes: Count = 16_777_216
    max_in_flight_requests: Count = 4000


@dataclass(frozen=True)
class Config:
    """The whole checked configuration of one site.

    Attributes:
        zones: Availability zones of the site.
        models: Models by name.
        services: Services by name.
        accounts: Client accounts by name.
        upstreams: Upstreams by name.
        desired: Desired model state by service name.
    """

    zones: tuple[Name, ...] = ()
    models: dict[Name, ModelConfig] = field(default_factory=dict)
    services: dict[Name, ServiceConfig] = field(default_factory=dict)
    accounts: dict[Name, AccountConfig] = field(default_factory=dict)
    upstreams: dict[Name, UpstreamConfig] = field(default_factory=dict)
    desired: dict[Name, DesiredModel] = field(default_factory=dict)
    retries: RetryConfig = RetryConfig()
    limits: LimitsConfig = LimitsConfig()
