"""Controllers that watch the platform's store and post its rows to the blackboard."""

from asyncio import FIRST_COMPLETED, create_task, wait
from collections.abc import Callable

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.forwarding.site_store import (
    ConfigUpdate,
    ListUpdate,
    NodeEntry,
    SiteStore,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.board_sections import (
    NodeListSection,
    SiteConfigSection,
    UpstreamListSection,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.watch_loop import Backoff, StoreRead, WatchLoop
from lagoonhinge_node.logs import PartLogger

CONFIG_WAIT_S = 2.0  # well below the time within which a revoked key must be out of use
# The list is read again at once when the configuration watcher detects a fault of the
# store.
UPSTREAMS_WAIT_S = 6.0
NODES_WAIT_S = 20.0  # nodes rarely change, and a stale list only costs accuracy
# Changes come in bursts; a pause after each update lets one call read several.
CONFIG_PAUSE_S = 0.15  # under a tenth of the time within which a change is in force
UPSTREAMS_PAUSE_S = 0.5  # a quarter of the time within which draining takes effect
NODES_PAUSE_S = 3.0  # about the startup time of the whole system
# Entries that expire during an outage of the store reappear within about 2 s.
REMOVAL_GRACE_S = 1.8
MIN_OUTAGE_S = 3.0  # time without an answer after which entries may expire


class ConfigWatcher(Service):
    """Puts the newest configuration into force."""

    def __init__(self, serving: ServingState, store: SiteStore):
        super().__init__()
        self.serving = serving
        self.store = store
        self.log_part = PartLogger("config")
        self.writer = serving.board.writer(SiteConfigSection(), "config watcher")
        self.requested_s = float("-inf")

    @Service.task
    async def watch(self) -> None:
        """Read the configuration whenever it changes."""
        loop = WatchLoop(
            self._read, self._apply, self.serving.report_store_failure, CONFIG_PAUSE_S
        )
        await loop.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ConfigUpdate]:
        self.requested_s = self.serving.clock()
        return await self.store.read_config(after, CONFIG_WAIT_S)

    def _confirmed_s(self, update: ConfigUpdate, after: int | None) -> float:
        """Return the latest time for which the update certainly holds."""
        wait_end_s = self.requested_s + CONFIG_WAIT_S
        is_unchanged = after is not None and update.config is None and not update.fault
        # Without a change, the store answers only at the end of the wait.
        if (
            is_unchanged
            and update.version == after
            and self.serving.clock() >= wait_end_s
        ):
            return wait_end_s
        return self.requested_s

    def _apply(self, update: ConfigUpdate, after: int | None) -> None:
        confirmed_s = self._confirmed_s(update, after)
        section = self.serving.board.read(SiteConfigSection)
        if update.fault:
            self.log_part.error(
                "Ignored an unusable configuration.",
                reason=update.fault,
            )
            self.writer.post(
                SiteConfigSection(section.config, update.fault, section.adopted_s)
            )
            return
        config, current = update.config, section.config
        if config is not None and (current is None or config.version > current.version):
            self.writer.post(SiteConfigSection(config, "", self.serving.clock()))
            self.log_part.info(
                "A configuration is in force.",
                version=config.version,
                accounts=len(config.accounts),
            )
        section = self.serving.board.read(SiteConfigSection)
        # A store without a configuration does not confirm the one in force.
        if section.config is not None and not section.fault:
            self.serving.freshness.confirm(confirmed_s)


class UpstreamWatcher(Service):
    """Maintains the list of upstreams."""

    def __init__(self, serving: ServingState, store: SiteStore):
        super().__init__()
        self.serving = serving
        self.store = store
        self.log_part = PartLogger("upstreams")
        self.writer = serving.board.writer(UpstreamListSection(), "upstream watcher")
        self.last_answer_s = float("-inf")
        # Whether a call to the store failed since its last answer.
        self.has_failed = False
        self.removal_grace_end_s = float("-inf")
        # Upstreams removed after an outage of the store, and when the removal takes
        # effect.
        self.pending_removals: dict[str, float] = {}

    @Service.task
    async def watch(self) -> None:
        """Read the list whenever it changes."""
        loop = WatchLoop(self._read, self._apply, self._record_fault, UPSTREAMS_PAUSE_S)
        await loop.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ListUpdate[Upstream]]:
        """Return an update, or `None` if a fault of the store interrupted the wait."""
        read_task = create_task(self.store.read_upstreams(after, UPSTREAMS_WAIT_S))
        fault_task = create_task(self.serving.store_failure.wait())
        try:
            await wait((read_task, fault_task), return_when=FIRST_COMPLETED)
            if read_task.done():
                return read_task.result()
            self._record_fault()
            return None
        finally:
            read_task.cancel()
            fault_task.cancel()

    @Service.timer(0.2)
    async def apply_due_removals(self) -> None:
        """Remove upstreams that did not reappear after an outage of the store."""
        now_s = self.serving.clock()
        due = [
            name
            for name, removal_due_s in self.pending_removals.items()
            if removal_due_s <= now_s
        ]
        for instance in due:
            del self.pending_removals[instance]
            self.log_part.info(
                "An upstream did not reappear after the outage; removed it.",
                upstream=instance,
            )
            self.serving.record_exit(instance)
        if due:
            self.serving.directory.update((), due)
            self._post(self.serving.board.read(UpstreamListSection).version)

    def _record_fault(self) -> None:
        self.has_failed = True

    def _record_answer(self) -> None:
        now_s = self.serving.clock()
        if self.has_failed and now_s - self.last_answer_s > MIN_OUTAGE_S:
            self.removal_grace_end_s = now_s + REMOVAL_GRACE_S
        self.last_answer_s = now_s
        self.has_failed = False

    def _apply(self, update: ListUpdate[Upstream], after: int | None) -> None:
        self._record_answer()
        current = self.serving.directory.by_instance
        removed = set(update.removed)
        if after is None:
            listed = {entry.instance for entry in update.changed}
            removed |= {name for name in current if name not in listed}
        removed &= set(current)
        for entry in update.changed:
            self.pending_removals.pop(entry.instance, None)
            self._log_change(current.get(entry.instance), entry)
        now_s = self.serving.clock()
        if now_s < self.removal_grace_end_s:
            for instance in removed:
                self.pending_removals.setdefault(instance, self.removal_grace_end_s)
            removed = set()
        for instance in removed:
            self.log_part.info("An upstream is no longer listed.", upstream=instance)
            self.serving.record_exit(instance)
        self.serving.directory.update(update.changed, removed)
        self._post(update.version)

    def _log_change(self, old: Upstream | None, new: Upstream) -> None:
        if old is None:
            self.log_part.info(
                "An upstream is listed.",
                upstream=new.instance,
                address=new.address(),
                leaving=new.leaving,
            )
        elif new.leaving and not old.leaving:
            self.log_part.info("An upstream is leaving.", upstream=new.instance)

    def _post(self, version: int) -> None:
        listed = self.serving.directory.by_instance
        self.writer.post(UpstreamListSection(dict(listed), version))
        self.serving.load.retain_only(listed)
        self.serving.health.retain_only(listed)


class NodeWatcher(Service):
    """Announces this node and maintains the list of the others.

    Args:
        serving: State shared by all requests.
        store: The platform's store.
        own_entry: This node's entry.
        on_change: Called with the other nodes after each update.
    """

    def __init__(
        self,
        serving: ServingState,
        store: SiteStore,
        own_entry: NodeEntry,
        on_change: Callable[[list[NodeEntry]], None],
    ):
        super().__init__()
        self.serving = serving
        self.store = store
        self.own_entry = own_entry
        self.on_change = on_change
        self.log_part = PartLogger("nodes")
        self.writer = serving.board.writer(NodeListSection(), "node watcher")

    @Service.task
    async def announce(self) -> None:
        """Write this node's entry until the store has it."""
        backoff = Backoff(self.serving, self.log_part)
        while not self.should_stop:
            match await self.store.announce(self.own_entry):
                case Success(_):
                    backoff.record_success()
                    return
                case Failure(fault):
                    await backoff.wait_after_failure(fault)

    @Service.task
    async def watch(self) -> None:
        """Read the list whenever it changes."""
        loop = WatchLoop(self._read, self._apply, _ignore_fault, NODES_PAUSE_S)
        await loop.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ListUpdate[NodeEntry]]:
        return await self.store.read_nodes(after, NODES_WAIT_S)

    def _apply(self, update: ListUpdate[NodeEntry], after: int | None) -> None:
        current = self.serving.board.read(NodeListSection).nodes
        nodes = {} if after is None else dict(current)
        for name in update.removed:
            nodes.pop(name, None)
        for entry in update.changed:
            nodes[entry.name] = entry
        self.writer.post(NodeListSection(nodes))
        self.serving.node_count = max(1, len(nodes))
        self.serving.zone_of_node = {node.name: node.zone for node in nodes.values()}
        self.on_change([n for n in nodes.values() if n.name != self.own_entry.name])


def _ignore_fault() -> None:
    """Do nothing: the fault is logged, and the last list remains usable."""
