"""Upstreams that say in their answers that they leave.

Such a notice counts at once, while the row of the upstream may be read late, or come
from an older state of the store. It belongs to one run of the upstream: one that starts
again under its name may get requests.

Load pattern: a release replaces upstreams while the store is away.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun


@dataclass
class LeavingNotices:
    """Runs of upstreams that said that they leave.

    Attributes:
        known: Runs that said so to this node or a peer.
        own: Runs that said so to this node, for its peers.
        has_unsent: Whether peers have not been sent one of them.
    """

    known: set[UpstreamRun] = field(default_factory=set)
    own: set[UpstreamRun] = field(default_factory=set)
    has_unsent: bool = False

    def record(self, upstream: Upstream) -> bool:
        """Record a notice of an upstream; return whether it is the first one."""
        run = upstream.run()
        is_first = run not in self.known
        if run not in self.own:
            self.own.add(run)
            self.known.add(run)
            self.has_unsent = True
        return is_first

    def merge(self, runs: Iterable[UpstreamRun]) -> None:
        """Record notices that peers got."""
        self.known.update(runs)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether a run of an upstream leaves."""
        return bool(self.known) and upstream.run() in self.known

    def retain_only(self, listed: Mapping[str, Upstream]) -> None:
        """Drop notices of upstreams that are not listed or have started again."""
        runs = {upstream.run() for upstream in listed.values()}
        self.known &= runs
        self.own &= runs
