"""The upstreams that may take an attempt now, read off the blackboard."""

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import UpstreamMode
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.placement import Candidate
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    UpstreamReport,
    UpstreamsSection,
)


def find_candidates(
    board: Blackboard, ledger: InFlightLedger, service: str
) -> tuple[Candidate, ...]:
    """Return the upstreams of a service in this zone that may receive new work.

    Those that did not answer the last time are left out while others did.
    """
    config = board.read(ConfigSection).config
    zone = board.read(NodeSection).zone
    reports = board.read(UpstreamsSection).reports
    found: list[Candidate] = []
    unreachable: set[str] = set()
    for name, upstream in config.upstreams.items():
        if upstream.service != service or upstream.zone != zone:
            continue
        if upstream.mode != UpstreamMode.ACTIVE:
            continue
        report = reports.get(name, UpstreamReport())
        if report.leaving:
            continue
        if not report.reachable:
            unreachable.add(name)
        work = ledger.work(name)
        found.append(
            Candidate(
                name=name,
                zone=upstream.zone,
                work=work,
                free_kv_tokens=max(0, upstream.kv_tokens - work.tokens),
                kv_tokens=upstream.kv_tokens,
            )
        )
    reachable = tuple(c for c in found if c.name not in unreachable)
    return reachable or tuple(found)
