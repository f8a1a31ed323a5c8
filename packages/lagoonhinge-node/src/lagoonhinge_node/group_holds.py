"""Everything that one group holds on its members, and its release."""

from dataclasses import dataclass, field, replace

from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import SpanRef
from lagoonhinge_core.groups import GroupSpan
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_node.releases import Release, Releaser

RESERVATION = "reservation"
EXPORT = "export"


@dataclass(frozen=True)
class MemberHold:
    """What a group holds, or may hold, on one member.

    Attributes:
        span: The member's span.
        config: Configuration of the member.
        name: Name of the reservation, and of the export.
        text: Text of the span, once all members are reserved.
    """

    span: GroupSpan
    config: UpstreamConfig
    name: str
    text: str = ""

    def as_export(self) -> SpanRef:
        """Return the span as the answering member imports it."""
        tokens = self.span.estimate.prompt_tokens
        return SpanRef(self.config.url, self.name, tokens)


@dataclass
class GroupHolds:
    """One try at a group; whatever it took is given back exactly once.

    Attributes:
        attempt: Identity of the attempt that the group is for.
        ledger: Counts the members' memory as in flight.
        releaser: Frees the holdings.
        expiry_s: Expiry of the holdings on the monotonic clock.
        members: Holds by position of the span in the prompt.
    """

    attempt: str
    ledger: InFlightLedger
    releaser: Releaser
    expiry_s: float
    members: dict[int, MemberHold] = field(default_factory=dict)

    def add(
        self, position: int, span: GroupSpan, config: UpstreamConfig, answers: bool
    ) -> MemberHold:
        """Note a hold before it is asked for, since the answer may be lost.

        Args:
            position: Position of the span in the prompt.
            span: The span.
            config: Configuration of its member.
            answers: Whether the member is the one that answers.
        """
        name = self.attempt if answers else f"{self.attempt}-{position}"
        hold = MemberHold(span, config, name)
        self.members[position] = hold
        item = WorkItem(
            upstream=span.member,
            prompt_tokens=span.estimate.prompt_tokens,
            total_tokens=span.reserve_tokens,
            is_long=True,
        )
        self.ledger.start(name, item)
        return hold

    def set_texts(self, texts: tuple[str, ...]) -> None:
        """Give each member its part of the prompt, in the order of the spans."""
        for position, hold in self.members.items():
            self.members[position] = replace(hold, text=texts[position])

    def forget(self, position: int) -> None:
        """Drop a hold that was surely not taken."""
        hold = self.members.pop(position)
        self.ledger.finish(hold.name)

    def answering(self) -> MemberHold:
        """Return the hold of the member that answers."""
        return self.members[max(self.members)]

    def exporting(self) -> tuple[MemberHold, ...]:
        """Return the other holds, in the order of the prompt."""
        last = max(self.members)
        return tuple(
            self.members[position]
            for position in sorted(self.members)
            if position != last
        )

    def hand_over(self) -> None:
        """Let the attempt itself count the answering member from now on."""
        self.ledger.finish(self.attempt)

    def release(self) -> None:
        """Free everything; returns at once."""
        for hold in self.members.values():
            if hold.name in self.ledger.open_items:
                self.ledger.finish(hold.name)
            for kind in (RESERVATION, EXPORT):
                if kind == RESERVATION or hold.name != self.attempt:
                    self.releaser.submit(
                        Release(hold.config.url, kind, hold.name, self.expiry_s)
                    )
        self.members.clear()
