"""The upstreams that may take an attempt now, read off the blackboard."""

from dataclasses import dataclass
from typing import TypeVar
from weakref import WeakKeyDictionary

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import UpstreamConfig, UpstreamMode
from lagoonhinge_core.in_flight import NO_WORK, InFlightLedger, UpstreamWork
from lagoonhinge_core.placement import Candidate
from lagoonhinge_core.sections import (
    ConfigSection,
    CorrectionsSection,
    NodeSection,
    PeersSection,
    UnexplainedLoad,
    UpstreamReport,
    UpstreamsSection,
)

NOTHING_UNEXPLAINED = UnexplainedLoad()
SectionT = TypeVar("SectionT")


@dataclass(frozen=True)
class Sources:
    """The sections that the candidates of every service depend on."""

    config: ConfigSection
    node: NodeSection
    upstreams: UpstreamsSection
    peers: PeersSection
    corrections: CorrectionsSection

    def same_as(self, other: "Sources") -> bool:
        """Return whether no section was posted anew."""
        return (
            self.config is other.config
            and self.node is other.node
            and self.upstreams is other.upstreams
            and self.peers is other.peers
            and self.corrections is other.corrections
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


@dataclass
class ServiceEntries:
    """The entries of one service and the sections that they were made from."""

    sources: Sources
    entries: list[Entry]


# A decision must not copy every peer's counts, so they are added up once per change.
_CACHE: WeakKeyDictionary[Blackboard, dict[str, ServiceEntries]] = WeakKeyDictionary()


def find_candidates(
    board: Blackboard, ledger: InFlightLedger, service: str
) -> tuple[Candidate, ...]:
    """Return the upstreams of a service in this zone that may receive new work.

    They are in the order of their names, which all nodes share. Those that did not
    answer the last time are left out while others did.
    """
    entries = _entries(board, service)
    work = ledger.work
    for entry in entries:
        own = work(entry.name)
        if own is not entry.own:
            entry.own = own
            entry.candidate = _candidate(entry.name, entry.config, own, entry.others)
    return tuple([entry.candidate for entry in entries])


def read_or(board: Blackboard, default: SectionT) -> SectionT:
    """Return a section, or the default while no controller writes it."""
    section = board.sections.get(type(default), default)
    assert isinstance(section, type(default))
    return section


def _entries(board: Blackboard, service: str) -> list[Entry]:
    sources = Sources(
        board.read(ConfigSection),
        board.read(NodeSection),
        board.read(UpstreamsSection),
        read_or(board, _NO_PEERS),
        read_or(board, _NO_CORRECTIONS),
    )
    by_service = _CACHE.setdefault(board, {})
    known = by_service.get(service)
    if known is None or not known.sources.same_as(sources):
        known = ServiceEntries(sources, _build(sources, service))
        by_service[service] = known
    return known.entries


def _build(sources: Sources, service: str) -> list[Entry]:
    zone = sources.node.zone
    reports = sources.upstreams.reports
    digests = tuple(sources.peers.digests.values())
    entries: list[Entry] = []
    unreachable: set[str] = set()
    for name, upstream in sources.config.config.upstreams.items():
        if upstream.service != service or upstream.zone != zone:
            continue
        if upstream.mode != UpstreamMode.ACTIVE:
            continue
        report = reports.get(name, UpstreamReport())
        if report.leaving:
            continue
        if not report.reachable:
            unreachable.add(name)
        others = NO_WORK
        for digest in digests:
            work = digest.work.get(name)
            if work is not None:
                others = others.plus(work)
        unexplained = sources.corrections.by_upstream.get(name)
        if unexplained is not None:
            others = others.plus(_as_work(unexplained))
        candidate = _candidate(name, upstream, NO_WORK, others)
        entries.append(Entry(name, upstream, others, NO_WORK, candidate))
    reachable = [entry for entry in entries if entry.name not in unreachable]
    return sorted(reachable or entries, key=lambda entry: entry.name)


def _as_work(unexplained: UnexplainedLoad) -> UpstreamWork:
    return UpstreamWork(
        tokens=unexplained.kv_tokens, prefill_tokens=unexplained.prefill_tokens
    )


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


_NO_PEERS = PeersSection()
_NO_CORRECTIONS = CorrectionsSection()
