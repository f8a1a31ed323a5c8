"""Which upstreams are leaving, by the platform's list, their own report, or a peer.

A mark holds for one generation of an upstream: an upstream that reuses the address
under a greater generation is a new one, whatever was said of the one before.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.peer_messages import PeerDigest, leaving_mark
from lagoonhinge_core.sections import VmsSection


@dataclass
class _Marks:
    generation: int
    by_report: bool = False
    by_list: bool = False


class LeavingMarks:
    """Marks of the upstreams that a node knows to be leaving."""

    def __init__(self) -> None:
        self.marks: dict[str, _Marks] = {}
        self.old_vms: dict[str, frozenset[str]] = {}
        self.vms = VmsSection()

    def configure(self, upstreams: Mapping[str, UpstreamConfig]) -> None:
        """Follow the configuration; marks of older generations are dropped."""
        for name, upstream in upstreams.items():
            known = self.marks.get(name)
            if known is None or known.generation < upstream.generation:
                if known is not None:
                    # The list lags: it may go on naming the VM that had the address.
                    self.old_vms[name] = frozenset(self._leaving_vms(upstream))
                self.marks[name] = _Marks(upstream.generation)
        for name in self.marks.keys() - upstreams.keys():
            del self.marks[name]
            self.old_vms.pop(name, None)

    def take_report(self, name: str, generation: int, load: LoadReport) -> None:
        """Take what an upstream says of itself; a late answer is dropped."""
        known = self.marks.get(name)
        if known is not None and known.generation == generation:
            known.by_report = load.leaving

    def take_list(
        self, upstreams: Mapping[str, UpstreamConfig], vms: VmsSection
    ) -> None:
        """Take the platform's list; a mark stays when the VM is gone from it."""
        self.vms = vms
        for name, upstream in upstreams.items():
            known = self.marks.get(name)
            if known is None:
                continue
            if _address(upstream) in vms.live:
                known.by_list = False
            elif set(self._leaving_vms(upstream)) - self.old_vms.get(name, frozenset()):
                known.by_list = True

    def own(self) -> tuple[str, ...]:
        """Return the marks found by this node itself, to tell its peers."""
        return tuple(
            leaving_mark(name, known.generation)
            for name, known in self.marks.items()
            if known.by_report or known.by_list
        )

    def leaving(self, digests: Iterable[PeerDigest]) -> frozenset[str]:
        """Return the names of the upstreams that are leaving, by any source."""
        said = {mark for digest in digests for mark in digest.leaving}
        said.update(self.own())
        return frozenset(
            name
            for name, known in self.marks.items()
            if leaving_mark(name, known.generation) in said
        )

    def _leaving_vms(self, upstream: UpstreamConfig) -> list[str]:
        address = _address(upstream)
        return [vm for listed, vm in self.vms.leaving if listed == address]


def _address(upstream: UpstreamConfig) -> str:
    return upstream.url.partition("://")[2]
