"""Plans of groups: how a prompt larger than one engine's memory is spread over several.

Each member holds one span of the prompt. Members are reserved in the order of their
names, each at once or not at all, and all are released when one refuses, so that two
groups formed at the same time never wait for each other.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from math import ceil
from typing import TypeAlias

from lagoonhinge_core.tokens import TokenEstimate

RESERVE_SLACK = 0.05  # estimates of single spans scatter
MIN_SPAN_TOKENS = 16  # more bytes than one character, at any bytes per token
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80


@dataclass(frozen=True)
class GroupMember:
    """An engine that may hold a span.

    Attributes:
        name: Upstream name.
        free_tokens: Memory believed free, in tokens.
    """

    name: str
    free_tokens: int


@dataclass(frozen=True)
class GroupSpan:
    """The span of one member.

    Attributes:
        member: Upstream name.
        share: Its part of the prompt, relative to those of the other spans.
        estimate: Its work; only the last span has output.
        reserve_tokens: Memory to set aside, in tokens.
    """

    member: str
    share: int
    estimate: TokenEstimate
    reserve_tokens: int


@dataclass(frozen=True)
class GroupPlan:
    """The spans in the order of the prompt; the member of the last one answers."""

    spans: tuple[GroupSpan, ...]

    def in_reserving_order(self) -> tuple[GroupSpan, ...]:
        """Return the spans in the order that every node reserves in."""
        return tuple(sorted(self.spans, key=lambda span: span.member))


@dataclass(frozen=True)
class NoRoomNow:
    """The members have too little free memory at present."""

    needed_tokens: int
    free_tokens: int


PlanResult: TypeAlias = GroupPlan | NoRoomNow


def plan_group(members: Iterable[GroupMember], estimate: TokenEstimate) -> PlanResult:
    """Spread a prompt over as few members as hold it, by their free memory.

    Args:
        members: Engines that may hold a span.
        estimate: Estimated work of the prompt.
    """
    needed = estimate.total()
    chosen = _choose_members(members, needed)
    free = sum(member.free_tokens for member in chosen)
    if free < needed or chosen[0].free_tokens <= estimate.output_tokens + 1:
        return NoRoomNow(needed, free)
    # The roomiest member answers, since it holds the output beside its span.
    ordered = (*sorted(chosen[1:], key=lambda member: member.name), chosen[0])
    shares = [member.free_tokens for member in ordered]
    shares[-1] -= estimate.output_tokens
    tokens = [share * estimate.prompt_tokens / sum(shares) for share in shares]
    outputs = (*(0 for _ in chosen[1:]), estimate.output_tokens)
    parts = zip(ordered, shares, tokens, outputs, strict=True)
    # A member too full for a few characters is left out.
    spans = [_span(*part) for part in parts if part[2] >= MIN_SPAN_TOKENS or part[3]]
    if sum(span.reserve_tokens for span in spans) < needed:
        return NoRoomNow(needed, free)
    return GroupPlan(tuple(spans))


def split_prompt(prompt: str, plan: GroupPlan) -> tuple[str, ...]:
    """Split a prompt by bytes in proportion to the shares, never inside a character."""
    # Cutting up several MB of mixed widths takes tens of milliseconds.
    raw = prompt if prompt.isascii() else prompt.encode()
    total = sum(span.share for span in plan.spans)
    cuts = [0]
    taken = 0
    for span in plan.spans:
        taken += span.share
        cut = len(raw) * taken // total
        cuts.append(cut if isinstance(raw, str) else _character_start(raw, cut))
    parts = [raw[start:end] for start, end in pairwise(cuts)]
    return tuple(part if isinstance(part, str) else part.decode() for part in parts)


def _choose_members(
    members: Iterable[GroupMember], needed: int
) -> tuple[GroupMember, ...]:
    roomiest = sorted(members, key=lambda member: (-member.free_tokens, member.name))
    chosen: list[GroupMember] = []
    free = 0
    for member in roomiest:
        if member.free_tokens <= 0 or free >= needed * (1 + RESERVE_SLACK):
            break
        chosen.append(member)
        free += member.free_tokens
    return tuple(chosen)


def _span(
    member: GroupMember, share: int, prompt_tokens: float, output_tokens: int
) -> GroupSpan:
    wanted = ceil(prompt_tokens * (1 + RESERVE_SLACK)) + output_tokens + 1
    return GroupSpan(
        member=member.name,
        share=share,
        estimate=TokenEstimate(max(1, round(prompt_tokens)), output_tokens),
        reserve_tokens=min(member.free_tokens, wanted),
    )


def _character_start(raw: bytes, position: int) -> int:
    while (
        position < len(raw)
        and raw[position] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION
    ):
        position -= 1
    return position
