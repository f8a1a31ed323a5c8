"""Group plans: the placement of a prompt larger than one engine's memory on several.

Each member holds one span of the prompt. Members are reserved in the order of their
names without waiting, and all are released when one refuses, so that groups formed at
the same time cannot deadlock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from math import ceil
from typing import TypeAlias

from lagoonhinge_core.tokens import TokenEstimate

RESERVE_SLACK = 0.05  # share added for the estimation error of a single span
MIN_SPAN_TOKENS = 16  # longer than one character at any number of bytes per token
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80


@dataclass(frozen=True)
class GroupMember:
    """An engine that may hold a span.

    Attributes:
        name: Upstream name.
        free_tokens: Estimated free memory, in tokens.
    """

    name: str
    free_tokens: int


@dataclass(frozen=True)
class GroupSpan:
    """The span of one member.

    Attributes:
        member: Upstream name.
        share: Its share of the prompt, relative to those of the other spans.
        estimate: Its estimated work; only the last span has output.
        reserve_tokens: Memory to reserve, in tokens.
    """

    member: str
    share: int
    estimate: TokenEstimate
    reserve_tokens: int


@dataclass(frozen=True)
class GroupPlan:
    """The spans in prompt order; the member of the last one generates the answer."""

    spans: tuple[GroupSpan, ...]

    def reservation_order(self) -> tuple[GroupSpan, ...]:
        """Return the spans in the order of reservation, the same at every node."""
        return tuple(sorted(self.spans, key=lambda span: span.member))


@dataclass(frozen=True)
class InsufficientMemory:
    """The members have too little free memory now."""

    needed_tokens: int
    free_tokens: int


PlanResult: TypeAlias = GroupPlan | InsufficientMemory


def plan_group(members: Iterable[GroupMember], estimate: TokenEstimate) -> PlanResult:
    """Plan a group of as few members as hold the prompt, by their free memory.

    Args:
        members: Engines that may hold a span.
        estimate: Estimated work of the prompt.
    """
    needed = estimate.total()
    chosen = _choose_members(members, needed)
    free = sum(member.free_tokens for member in chosen)
    if free < needed or chosen[0].free_tokens <= estimate.output_tokens + 1:
        return InsufficientMemory(needed, free)
    # The member with the most free memory answers: it also holds the output.
    ordered = (*sorted(chosen[1:], key=lambda member: member.name), chosen[0])
    shares = [member.free_tokens for member in ordered]
    shares[-1] -= estimate.output_tokens
    tokens = [share * estimate.prompt_tokens / sum(shares) for share in shares]
    outputs = (*(0 for _ in chosen[1:]), estimate.output_tokens)
    span_args = zip(ordered, shares, tokens, outputs, strict=True)
    # Spans shorter than the minimum are left out.
    spans = [
        _plan_span(*args) for args in span_args if args[2] >= MIN_SPAN_TOKENS or args[3]
    ]
    if sum(span.reserve_tokens for span in spans) < needed:
        return InsufficientMemory(needed, free)
    return GroupPlan(tuple(spans))


def split_prompt(prompt: str, plan: GroupPlan) -> tuple[str, ...]:
    """Split a prompt by bytes in proportion to the shares, between characters."""
    # Splitting several MB of mixed widths takes tens of milliseconds.
    raw = prompt if prompt.isascii() else prompt.encode()
    total = sum(span.share for span in plan.spans)
    cuts = [0]
    cumulative_share = 0
    for span in plan.spans:
        cumulative_share += span.share
        cut = len(raw) * cumulative_share // total
        cuts.append(cut if isinstance(raw, str) else _character_start(raw, cut))
    texts = [raw[start:end] for start, end in pairwise(cuts)]
    return tuple(text if isinstance(text, str) else text.decode() for text in texts)


def _choose_members(
    members: Iterable[GroupMember], needed: int
) -> tuple[GroupMember, ...]:
    by_free_memory = sorted(
        members, key=lambda member: (-member.free_tokens, member.name)
    )
    chosen: list[GroupMember] = []
    free = 0
    for member in by_free_memory:
        if member.free_tokens <= 0 or free >= needed * (1 + RESERVE_SLACK):
            break
        chosen.append(member)
        free += member.free_tokens
    return tuple(chosen)


def _plan_span(
    member: GroupMember, share: int, prompt_tokens: float, output_tokens: int
) -> GroupSpan:
    padded_tokens = ceil(prompt_tokens * (1 + RESERVE_SLACK)) + output_tokens + 1
    return GroupSpan(
        member=member.name,
        share=share,
        estimate=TokenEstimate(max(1, round(prompt_tokens)), output_tokens),
        reserve_tokens=min(member.free_tokens, padded_tokens),
    )


def _character_start(raw: bytes, position: int) -> int:
    while (
        position < len(raw)
        and raw[position] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION
    ):
        position -= 1
    return position
