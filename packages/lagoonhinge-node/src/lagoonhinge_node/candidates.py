"""The upstreams that may take an attempt now, read off the blackboard."""

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
class Sources:
    """The sections that the candidates of every service depend on."""

    config: ConfigSection
    node: NodeSection
    upstreams: UpstreamsSection
    others: OthersWorkSection
    members: MembersSection

    def same_cell(self, other: "Sources") -> bool:
        """Return whether this node's cell is numbered as it was."""
        old, new = self.members, other.members
        return (old.cell_number, old.cell_count) == (new.cell_number, new.cell_count)

    def same_as(self, other: "Sources") -> bool:
        """Return whether no section was posted anew."""
        return (
            self.config is other.config
            and self.node is other.node
            and self.upstreams is other.upstreams
            and self.others is other.others
            and self.same_cell(other)
        )


@dataclass
class Entry:
    """One upstream with what others than this node do on it.

    Attributes:
        name: Upstream name.
        config: Its configuration.
        others: Work of peers, and work that only its reports show.
        own: This node's work when `candidate` was made.
        candidate: The candidate as of `own`.
    """

    name: str
    config: UpstreamConfig
    others: UpstreamWork
    own: UpstreamWork
    candidate: Candidate


@dataclass(frozen=True)
class Capacity:
    """What the best upstream of a service can do.

    Attributes:
        kv_tokens: Most memory of one upstream, in tokens.
        prefill_tokens_per_s: Fastest prompt processing, in tokens per second.
    """

    kv_tokens: int
    prefill_tokens_per_s: float


STALE = -1
NO_CAPACITY = Capacity(0, 1.0)


@dataclass
class ServiceEntries:
    """The entries of one service and what they were made from.

    Attributes:
        sources: The sections that were read.
        in_zone: The service's upstreams of this zone, in the order of their names.
        entries: Those that may receive new work.
        changes: State of the ledger that `candidates` shows.
        candidates: The candidates of the last decision.
        capacity: Greatest memory and speed among them.
    """

    sources: Sources
    in_zone: list[tuple[str, UpstreamConfig]]
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: int = STALE
    candidates: tuple[Candidate, ...] = ()
    capacity: Capacity = NO_CAPACITY


# A decision must not copy what has not changed since the one before.
_CACHE: WeakKeyDictionary[Blackboard, dict[str, ServiceEntries]] = WeakKeyDictionary()


def find_candidates(
    board: Blackboard, ledger: InFlightLedger, service: str
) -> tuple[Candidate, ...]:
    """Return the upstreams of a service in this zone that may receive new work.

    They are in the order of their names, which all nodes of the cell share. Those of
    other cells, and those that did not answer the last time, are left out while there
    are others.
    """
    known = _entries(board, service)
    if known.changes == ledger.changes:
        return known.candidates
    changed = ledger.changed_since(known.changes) if known.changes != STALE else None
    for name in known.entries if changed is None else changed:
        entry = known.entries.get(name)
        if entry is not None:
            _follow_own_work(entry, ledger)
    known.changes = ledger.changes
    known.candidates = tuple([entry.candidate for entry in known.entries.values()])
    return known.candidates


def find_capacity(board: Blackboard, service: str) -> Capacity:
    """Return what the best upstream of a service in this zone can do."""
    return _entries(board, service).capacity


def _entries(board: Blackboard, service: str) -> ServiceEntries:
    sources = Sources(
        board.read(ConfigSection),
        board.read(NodeSection),
        board.read(UpstreamsSection),
        board.find(_NOTHING_FROM_OTHERS),
        board.find(_ALONE),
    )
    by_service = _CACHE.setdefault(board, {})
    known = by_service.get(service)
    if known is None:
        known = ServiceEntries(sources, _in_zone(sources, service))
        _rebuild(known, sources)
        by_service[service] = known
    elif not known.sources.same_as(sources):
        old = known.sources
        if old.config is not sources.config or old.node.zone != sources.node.zone:
            known.in_zone = _in_zone(sources, service)
        _rebuild(known, sources)
    return known


def _follow_own_work(entry: Entry, ledger: InFlightLedger) -> None:
    own = ledger.work(entry.name)
    if own is not entry.own:
        entry.own = own
        entry.candidate = _candidate(entry.name, entry.config, own, entry.others)


def _in_zone(sources: Sources, service: str) -> list[tuple[str, UpstreamConfig]]:
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


def _rebuild(known: ServiceEntries, sources: Sources) -> None:
    reports = sources.upstreams.reports
    by_upstream = sources.others.by_upstream
    entries: dict[str, Entry] = {}
    unreachable: set[str] = set()
    for name, upstream in known.in_zone:
        report = reports.get(name, _NO_REPORT)
        if report.leaving:
            continue
        if not report.reachable:
            unreachable.add(name)
        others = by_upstream.get(name, NO_WORK)
        entry = known.entries.get(name)
        if entry is None or entry.others is not others or entry.config is not upstream:
            candidate = _candidate(name, upstream, NO_WORK, others)
            entry = Entry(name, upstream, others, NO_WORK, candidate)
        entries[name] = entry
    entries = _preferred(entries, unreachable, sources.members)
    known.sources = sources
    known.entries = entries
    known.changes = STALE
    configs = [entry.config for entry in entries.values()]
    known.capacity = Capacity(
        max((config.kv_tokens for config in configs), default=0),
        max((config.prefill_tokens_per_s for config in configs), default=1.0),
    )


def _preferred(
    entries: dict[str, Entry], unreachable: set[str], members: MembersSection
) -> dict[str, Entry]:
    """Return the cell's entries that answer, else the zone's, else all."""
    reachable = {name: entries[name] for name in entries if name not in unreachable}
    own = {
        name: entry
        for name, entry in reachable.items()
        if owning_cell(name, members.cell_count) == members.cell_number
    }
    return own or reachable or entries


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
_NOTHING_FROM_OTHERS = OthersWorkSection()
_ALONE = MembersSection()
