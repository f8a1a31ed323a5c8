"""Upstreams that say in their answers that they leave.

Such a notice counts at once, while the row of the upstream may be read late, or come
from an older state of the store. It belongs to one run of the upstream: one that starts
again under its name may get requests.

A notice outlasts the row of its upstream for a time, since an older copy of the store
may bring the row back.

Load pattern: a release replaces upstreams while the store is away.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun

KEPT_S = 600.0  # longer than any copy of the store is old


@dataclass
class LeavingNotices:
    """Runs of upstreams that said that they leave.

    Attributes:
        known: Latest such run of each upstream, by its start, in milliseconds since the
            epoch.
        unlisted_s: When upstreams of these were first seen to have ended, in seconds.
        own: Runs that said so to this node, for its peers.
        has_unsent: Whether peers have not been sent one of them.
    """

    known: dict[str, int] = field(default_factory=dict)
    unlisted_s: dict[str, float] = field(default_factory=dict)
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

    def merge(self, runs: Iterable[UpstreamRun]) -> tuple[UpstreamRun, ...]:
        """Record notices that peers got or that are in the store; return new ones."""
        new_runs: list[UpstreamRun] = []
        for run in runs:
            latest_ms = self.known.get(run.instance)
            if latest_ms is None or run.started_ms > latest_ms:
                self.known[run.instance] = run.started_ms
                new_runs.append(run)
        return tuple(new_runs)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether a run of an upstream leaves, or a later one does."""
        latest_ms = self.known.get(upstream.instance)
        return latest_ms is not None and upstream.started_ms <= latest_ms

    def retain_only(self, listed: Mapping[str, Upstream], now_s: float) -> None:
        """Drop notices of upstreams that ended or started again some time ago."""
        ended = {
            instance
            for instance, started_ms in self.known.items()
            if instance not in listed or listed[instance].started_ms > started_ms
        }
        self.unlisted_s = {
            instance: self.unlisted_s.get(instance, now_s) for instance in ended
        }
        for instance, since_s in tuple(self.unlisted_s.items()):
            if now_s - since_s >= KEPT_S:
                del self.known[instance], self.unlisted_s[instance]
        runs = {upstream.run() for upstream in listed.values()}
        self.own &= runs
