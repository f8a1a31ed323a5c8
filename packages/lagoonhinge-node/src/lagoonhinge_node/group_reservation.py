"""Reservations and exports of one group on its members, and their release."""

from dataclasses import dataclass, field, replace

from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import SpanRef
from lagoonhinge_core.groups import GroupSpan
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_node.releases import Release, ReleaseQueue

RESERVATION = "reservation"
EXPORT = "export"


@dataclass(frozen=True)
class MemberReservation:
    """Memory reservation and export that a group has, or may have, on one member.

    Attributes:
        span: The member's span.
        config: Configuration of the member.
        name: Name of the reservation, and of the export.
        text: Text of the span; empty until all members are reserved.
    """

    span: GroupSpan
    config: UpstreamConfig
    name: str
    text: str = ""

    def as_export(self) -> SpanRef:
        """Return the reference by which the answering member imports the span."""
        tokens = self.span.estimate.prompt_tokens
        return SpanRef(self.config.url, self.name, tokens)


@dataclass
class GroupReservation:
    """Reservations of one attempt on the members of a group, each released once.

    Attributes:
        attempt: Name of the attempt that the group is for.
        ledger: Counts the members' memory as in flight.
        releases: Frees the reservations and exports.
        expiry_s: Their expiry on the monotonic clock, in seconds.
        members: Reservations by position of the span in the prompt.
    """

    attempt: str
    ledger: InFlightLedger
    releases: ReleaseQueue
    expiry_s: float
    members: dict[int, MemberReservation] = field(default_factory=dict)

    def add(
        self, position: int, span: GroupSpan, config: UpstreamConfig, is_answering: bool
    ) -> MemberReservation:
        """Record a reservation before it is requested, since the reply may be lost.

        Args:
            position: Position of the span in the prompt.
            span: The span.
            config: Configuration of its member.
            is_answering: Whether the member decodes the answer.
        """
        name = self.attempt if is_answering else f"{self.attempt}-{position}"
        member = MemberReservation(span, config, name)
        self.members[position] = member
        item = WorkItem(
            upstream=span.member,
            prompt_tokens=span.estimate.prompt_tokens,
            total_tokens=span.reserve_tokens,
            is_long=True,
        )
        self.ledger.start(name, item)
        return member

    def set_texts(self, texts: tuple[str, ...]) -> None:
        """Set each member's part of the prompt, in the order of the spans."""
        for position, member in self.members.items():
            self.members[position] = replace(member, text=texts[position])

    def discard(self, position: int) -> None:
        """Remove a reservation that was surely not made."""
        member = self.members.pop(position)
        self.ledger.finish(member.name)

    def answering_member(self) -> MemberReservation:
        """Return the member that decodes the answer."""
        return self.members[max(self.members)]

    def exporting_members(self) -> tuple[MemberReservation, ...]:
        """Return the other members, in the order of the prompt."""
        last = max(self.members)
        return tuple(
            self.members[position]
            for position in sorted(self.members)
            if position != last
        )

    def transfer_answering_member(self) -> None:
        """Stop counting the answering member; its attempt counts it from now on."""
        self.ledger.finish(self.attempt)

    def release(self) -> None:
        """Submit the release of everything, without waiting for it."""
        for member in self.members.values():
            if member.name in self.ledger.open_items:
                self.ledger.finish(member.name)
            for kind in (RESERVATION, EXPORT):
                if kind == RESERVATION or member.name != self.attempt:
                    self.releases.submit(
                        Release(member.config.url, kind, member.name, self.expiry_s)
                    )
        self.members.clear()
