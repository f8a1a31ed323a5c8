"""The upstreams that may take an attempt now, read off the blackboard."""

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import UpstreamMode
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.placement import Candidate
from lagoonhinge_core.sections import ConfigSection, NodeSection, UpstreamsSection


def find_candidates(
    board: Blackboard, ledger: InFlightLedger, service: str
) -> tuple[Candidate, ...]:
    """Return the upstreams of a service in this zone that may receive new work."""
    config = board.read(ConfigSection).config
    zone = board.read(NodeSection).zone
    reports = board.read(UpstreamsSection).reports
    found: list[Candidate] = []
    for name, upstream in config.upstreams.items():
        if upstream.service != service or upstream.zone != zone:
            continue
        if upstream.mode != UpstreamMode.ACTIVE:
            continue
        report = reports.get(name)
        if report is not None and report.leaving:
            continue
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
    return tuple(found)
