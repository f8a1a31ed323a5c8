"""Upstreams that may receive an attempt now, cached from the blackboard."""

from dataclasses import dataclass, field
from operator import itemgetter
from weakref import WeakKeyDictionary

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.cells import owning_cell
from lagoonhinge_core.config import UpstreamConfig, UpstreamMode
from lagoonhinge_core.in_flight import NO_WORK, InFlightLedger, UpstreamWork
from lagoonhinge_core.placement import Candidate
from lagoonhinge_core.sections import (
    ConfigSection,
    MembersSection,
    NodeSection,
    OthersWorkSection,
    UpstreamReport,
    UpstreamsSection,
)


@dataclass(frozen=True)
class CandidateSources:
    """Blackboard sections from which candidates are computed."""

    config: ConfigSection
    node: NodeSection
    upstreams: UpstreamsSection
    others: OthersWorkSection
    members: MembersSection

    def same_cell(self, other: "CandidateSources") -> bool:
        """Return whether the cell number and the cell count are the same."""
        previous, new = self.members, other.members
        return (previous.cell_number, previous.cell_count) == (
            new.cell_number,
            new.cell_count,
        )

    def same_as(self, other: "CandidateSources") -> bool:
        """Return whether no section was replaced."""
        return (
            self.config is other.config
            and self.node is other.node
            and self.upstreams is other.upstreams
            and self.others is other.others
            and self.same_cell(other)
        )


@dataclass
class CandidateEntry:
    """One upstream and the work on it.

    Attributes:
        name: Upstream name.
        config: Its configuration.
        others: Work of peers, and work that only the upstream's load reports show.
        own: This node's work, as of `candidate`.
        candidate: The candidate computed from `own` and `others`.
    """

    name: str
    config: UpstreamConfig
    others: UpstreamWork
    own: UpstreamWork
    candidate: Candidate


@dataclass(frozen=True)
class Capacity:
    """Highest capacity of any upstream of a service.

    Attributes:
        kv_tokens: Largest KV cache of one upstream, in tokens.
        prefill_tokens_per_s: Highest prefill rate, in tokens per second.
    """

    kv_tokens: int
    prefill_tokens_per_s: float


UNKNOWN_CHANGES = -1
NO_CAPACITY = Capacity(0, 1.0)


@dataclass
class ServiceEntries:
    """Cached entries of one service and their sources.

    Attributes:
        sources: Sections that the entries were computed from.
        in_zone: The service's active upstreams in this zone, sorted by name.
        entries: Those that may receive new work, by name.
        ledger_changes: Change count of the ledger as of `candidates`.
        candidates: Result of the last call of `find_candidates`.
        capacity: Highest capacity among `entries`.
    """

    sources: CandidateSources
    in_zone: list[tuple[str, UpstreamConfig]]
    entries: dict[str, CandidateEntry] = field(default_factory=dict)
    ledger_changes: int = UNKNOWN_CHANGES
    candidates: tuple[Candidate, ...] = ()
    capacity: Capacity = NO_CAPACITY


# Cached, since each placement decision reads the candidates.
_CACHE: WeakKeyDictionary[Blackboard, dict[str, ServiceEntries]] = WeakKeyDictionary()


def find_candidates(
    board: Blackboard, ledger: InFlightLedger, service: str
) -> tuple[Candidate, ...]:
    """Return the upstreams of a service in this zone that may receive new work.

    They are sorted by name, so that all nodes of a cell have the same order. Upstreams
    of other cells, and unreachable ones, are left out while there are others.
    """
    cached = _entries(board, service)
    if cached.ledger_changes == ledger.changes:
        return cached.candidates
    changed = (
        ledger.changed_since(cached.ledger_changes)
        if cached.ledger_changes != UNKNOWN_CHANGES
        else None
    )
    for name in cached.entries if changed is None else changed:
        entry = cached.entries.get(name)
        if entry is not None:
            _update_own_work(entry, ledger)
    cached.ledger_changes = ledger.changes
    cached.candidates = tuple([entry.candidate for entry in cached.entries.values()])
    return cached.candidates


def find_capacity(board: Blackboard, service: str) -> Capacity:
    """Return the highest capacity of any upstream of a service in this zone."""
    return _entries(board, service).capacity


def _entries(board: Blackboard, service: str) -> ServiceEntries:
    sources = CandidateSources(
        board.read(ConfigSection),
        board.read(NodeSection),
        board.read(UpstreamsSection),
        board.find(_NO_OTHERS_WORK),
        board.find(_NO_MEMBERS),
    )
    by_service = _CACHE.setdefault(board, {})
    cached = by_service.get(service)
    if cached is None:
        cached = ServiceEntries(sources, _in_zone(sources, service))
        _rebuild(cached, sources)
        by_service[service] = cached
    elif not cached.sources.same_as(sources):
        previous = cached.sources
        if (
            previous.config is not sources.config
            or previous.node.zone != sources.node.zone
        ):
            cached.in_zone = _in_zone(sources, service)
        _rebuild(cached, sources)
    return cached


def _update_own_work(entry: CandidateEntry, ledger: InFlightLedger) -> None:
    own = ledger.work(entry.name)
    if own is not entry.own:
        entry.own = own
        entry.candidate = _candidate(entry.name, entry.config, own, entry.others)


def _in_zone(
    sources: CandidateSources, service: str
) -> list[tuple[str, UpstreamConfig]]:
    zone = sources.node.zone
    return sorted(
        (
            (name, upstream)
            for name, upstream in sources.config.config.upstreams.items()
            if upstream.service == service
            and upstream.zone == zone
            and upstream.mode == UpstreamMode.ACTIVE
        ),
        key=itemgetter(0),
    )


def _rebuild(cached: ServiceEntries, sources: CandidateSources) -> None:
    reports = sources.upstreams.reports
    by_upstream = sources.others.by_upstream
    entries: dict[str, CandidateEntry] = {}
    unreachable: set[str] = set()
    for name, upstream in cached.in_zone:
        report = reports.get(name, _NO_REPORT)
        if report.leaving:
            continue
        if not report.reachable:
            unreachable.add(name)
        others = by_upstream.get(name, NO_WORK)
        entry = cached.entries.get(name)
        if entry is None or entry.others is not others or entry.config is not upstream:
            candidate = _candidate(name, upstream, NO_WORK, others)
            entry = CandidateEntry(name, upstream, others, NO_WORK, candidate)
        entries[name] = entry
    entries = _preferred_entries(entries, unreachable, sources.members)
    cached.sources = sources
    cached.entries = entries
    cached.ledger_changes = UNKNOWN_CHANGES
    configs = [entry.config for entry in entries.values()]
    cached.capacity = Capacity(
        max((config.kv_tokens for config in configs), default=0),
        max((config.prefill_tokens_per_s for config in configs), default=1.0),
    )


def _preferred_entries(
    entries: dict[str, CandidateEntry], unreachable: set[str], members: MembersSection
) -> dict[str, CandidateEntry]:
    """Return the cell's reachable entries, else the zone's, else all."""
    reachable = {name: entries[name] for name in entries if name not in unreachable}
    in_cell = {
        name: entry
        for name, entry in reachable.items()
        if owning_cell(name, members.cell_count) == members.cell_number
    }
    return in_cell or reachable or entries


def _candidate(
    name: str, upstream: UpstreamConfig, own: UpstreamWork, others: UpstreamWork
) -> Candidate:
    work = own if others is NO_WORK else own.plus(others)
    return Candidate(
        name=name,
        zone=upstream.zone,
        work=work,
        free_kv_tokens=max(0, upstream.kv_tokens - work.tokens),
        kv_tokens=upstream.kv_tokens,
        prefill_tokens_per_s=upstream.prefill_tokens_per_s,
    )


_NO_REPORT = UpstreamReport()
_NO_OTHERS_WORK = OthersWorkSection()
_NO_MEMBERS = MembersSection()
