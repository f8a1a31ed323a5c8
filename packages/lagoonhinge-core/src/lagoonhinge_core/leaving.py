"""Upstreams that are leaving, by the platform's list, their own report, or a peer.

A mark applies to one generation of an upstream. An upstream that reuses the address
under a greater generation is a new one and starts without marks.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.peer_messages import PeerDigest, leaving_mark
from lagoonhinge_core.sections import VmsSection


@dataclass
class _UpstreamMarks:
    generation: int
    by_report: bool = False
    by_list: bool = False


class LeavingMarks:
    """Marks of the upstreams that are leaving, by source."""

    def __init__(self) -> None:
        self.by_name: dict[str, _UpstreamMarks] = {}
        self.previous_vms: dict[str, frozenset[str]] = {}
        self.vms = VmsSection()

    def configure(self, upstreams: Mapping[str, UpstreamConfig]) -> None:
        """Apply the configured upstreams; marks of older generations are dropped."""
        for name, upstream in upstreams.items():
            marks = self.by_name.get(name)
            if marks is None or marks.generation < upstream.generation:
                if marks is not None:
                    # The list lags and may still name the previous VM at the address.
                    self.previous_vms[name] = frozenset(self._leaving_vms(upstream))
                self.by_name[name] = _UpstreamMarks(upstream.generation)
        for name in self.by_name.keys() - upstreams.keys():
            del self.by_name[name]
            self.previous_vms.pop(name, None)

    def apply_report(self, name: str, generation: int, load: LoadReport) -> None:
        """Apply an upstream's report; one of another generation is dropped."""
        marks = self.by_name.get(name)
        if marks is not None and marks.generation == generation:
            marks.by_report = load.leaving

    def apply_vm_list(
        self, upstreams: Mapping[str, UpstreamConfig], vms: VmsSection
    ) -> None:
        """Apply the platform's list; a mark stays when the VM is no longer listed."""
        self.vms = vms
        for name, upstream in upstreams.items():
            marks = self.by_name.get(name)
            if marks is None:
                continue
            if _address(upstream) in vms.live:
                marks.by_list = False
            elif set(self._leaving_vms(upstream)) - self.previous_vms.get(
                name, frozenset()
            ):
                marks.by_list = True

    def own_marks(self) -> tuple[str, ...]:
        """Return the marks that this node detected itself, for its digest."""
        return tuple(
            leaving_mark(name, marks.generation)
            for name, marks in self.by_name.items()
            if marks.by_report or marks.by_list
        )

    def leaving(self, digests: Iterable[PeerDigest]) -> frozenset[str]:
        """Return the names of the upstreams that are leaving, by any source."""
        reported = {mark for digest in digests for mark in digest.leaving}
        reported.update(self.own_marks())
        return frozenset(
            name
            for name, marks in self.by_name.items()
            if leaving_mark(name, marks.generation) in reported
        )

    def _leaving_vms(self, upstream: UpstreamConfig) -> list[str]:
        address = _address(upstream)
        return [vm for listed, vm in self.vms.leaving if listed == address]


def _address(upstream: UpstreamConfig) -> str:
    return upstream.url.partition("://")[2]
