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
        known: Latest such run of each upstream, by its start, in milliseconds since the
            epoch.
        own: Runs that said so to this node, for its peers.
        has_unsent: Whether peers have not been sent one of them.
    """

    known: dict[str, int] = field(default_factory=dict)
    own: set[UpstreamRun] = field(default_factory=set)
    has_unsent: bool = False

    def record(self, upstream: Upstream) -> bool:
        """Record a notice of an upstream; return whether it is the first one."""
        run, is_first = upstream.run(), not self.is_leaving(upstream)
        if run not in self.own:
            self.own.add(run)
            self.merge((run,))
            self.has_unsent = True
        return is_first

    def merge(self, runs: Iterable[UpstreamRun]) -> None:
        """Record notices that peers got or that are in the store."""
        for run in runs:
            latest_ms = self.known.get(run.instance, run.started_ms)
            self.known[run.instance] = max(latest_ms, run.started_ms)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether a run of an upstream leaves."""
        return self.known.get(upstream.instance) == upstream.started_ms

    def retain_only(self, listed: Mapping[str, Upstream]) -> None:
        """Drop notices of upstreams that are not listed or have started again."""
        self.known = {
            instance: started_ms
            for instance, started_ms in self.known.items()
            if instance in listed and listed[instance].started_ms <= started_ms
        }
        runs = {upstream.run() for upstream in listed.values()}
        self.own &= runs
