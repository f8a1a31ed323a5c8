"""Controllers that apply the rows of the platform's store to the blackboard."""

from asyncio import Event
from collections.abc import Callable, Iterable
from typing import TypeVar

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.forwarding.evacuations import ZoneChanges
from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_core.forwarding.site_store import (
    ListUpdate,
    NodeEntry,
    RowDecoder,
    TableRow,
    list_update,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.board_sections import (
    NodeListSection,
    SiteConfigSection,
    UpstreamListSection,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.task_guards import guarded_timer, log_unexpected
from lagoonhinge_node.logs import PartLogger

EntryT = TypeVar("EntryT")


def update_cell(serving: ServingState) -> None:
    """Determine the cell of this node from the lists in force."""
    config = serving.board.find(SiteConfigSection()).config
    services = config.services.values() if config is not None else ()
    serving.update_cell(entry.name for entry in services if entry.engine is not None)


def _guarded(
    decode_entry: Callable[[TableRow], EntryT | None],
) -> Callable[[TableRow], EntryT | None]:
    """Let an entry whose translation has an unexpected error count as unusable."""

    def decode(row: TableRow) -> EntryT | None:
        try:
            return decode_entry(row)
        except Exception as error:
            # The other entries hold, whatever this one has.
            log_unexpected(f"entry {row.key!r}", error)
            return None

    return decode


class ConfigController:
    """Puts the newest configuration into force.

    Args:
        serving: State shared by all requests.
        decoder: Translation of the store's rows.
    """

    def __init__(self, serving: ServingState, decoder: RowDecoder):
        self.serving = serving
        self.decoder = decoder
        self.log_part = PartLogger("config")
        self.writer = serving.board.writer(SiteConfigSection(), "config controller")

    def apply(self, rows: tuple[TableRow, ...]) -> None:
        """Apply rows of the configuration's table."""
        present = [row for row in rows if row.value is not None]
        if not present:
            return
        section = self.serving.board.read(SiteConfigSection)
        match self.decoder.config(max(present, key=lambda row: row.version)):
            case Success(config):
                self._put_into_force(config, section.config)
            case Failure(reason):
                self.log_part.error("Ignored an unusable configuration.", reason=reason)
                self.writer.post(
                    SiteConfigSection(section.config, reason, section.adopted_s)
                )

    def _put_into_force(self, config: SiteConfig, current: SiteConfig | None) -> None:
        if current is not None and config.version <= current.version:
            return
        self.writer.post(SiteConfigSection(config, "", self.serving.clock()))
        update_cell(self.serving)
        self.log_part.info(
            "A configuration is in force.",
            version=config.version,
            accounts=len(config.accounts),
        )

    def confirm(self, known_s: float) -> None:
        """Record that no newer configuration existed at a time, in seconds."""
        section = self.serving.board.read(SiteConfigSection)
        # A store without a configuration does not confirm the one in force.
        if section.config is not None and not section.fault:
            self.serving.freshness.confirm(known_s)


class EvacuationController(Service):
    """Maintains the evacuated zones.

    Args:
        serving: State shared by all requests.
    """

    def __init__(self, serving: ServingState):
        super().__init__()
        self.serving = serving
        self.log_part = PartLogger("evacuations")

    @Service.timer(0.2)
    @guarded_timer
    async def end_forgotten(self) -> None:
        """End evacuations that the store lost and that were not written again."""
        now_s = self.serving.clock()
        self._record(self.serving.evacuations.end_forgotten(now_s))

    def apply(self, rows: tuple[TableRow, ...]) -> None:
        """Apply changes of evacuations."""
        self._record(self.serving.evacuations.apply(rows))

    def apply_all(self, rows: tuple[TableRow, ...], is_later_era: bool) -> None:
        """Apply all evacuations that the store has.

        Args:
            rows: Their rows.
            is_later_era: Whether the store came back from an older copy.
        """
        evacuations, now_s = self.serving.evacuations, self.serving.clock()
        self._record(evacuations.apply_all(rows, is_later_era, now_s))

    def _record(self, changes: ZoneChanges) -> None:
        for zone in changes.evacuated:
            self.log_part.warning(
                "A zone is evacuated; its upstreams get nothing new.",
                zone=zone,
                upstreams=self.serving.count_upstreams(zone),
            )
        for zone in changes.taken_back:
            self.log_part.info("A zone is no longer evacuated.", zone=zone)
            self._expect_cold(zone)

    def _expect_cold(self, zone: str) -> None:
        """Take a zone's upstreams for cold, as their rows may be older than that."""
        for upstream in self.serving.directory.by_instance.values():
            profile = self.serving.cold_profile(upstream)
            if upstream.zone == zone and profile is not None:
                self.serving.record_cold(upstream, profile.cold_s)


class UpstreamController(Service):
    """Maintains the list of upstreams.

    Args:
        serving: State shared by all requests.
        decoder: Translation of the store's rows.
    """

    def __init__(self, serving: ServingState, decoder: RowDecoder):
        super().__init__()
        self.serving = serving
        self.decoder = decoder
        self.log_part = PartLogger("upstreams")
        self.writer = serving.board.writer(UpstreamListSection(), "upstream controller")
        # Upstreams removed after an outage of the store, and when the removal takes
        # effect.
        self.pending_removals: dict[str, float] = {}

    @Service.timer(0.2)
    @guarded_timer
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
            self.serving.record_exit(instance, "missing after an outage")
        if due:
            self.serving.directory.update((), due)
            self._post()

    def apply(self, rows: tuple[TableRow, ...], is_complete: bool) -> None:
        """Apply rows of the upstreams' table.

        Args:
            rows: The rows.
            is_complete: Whether these are all rows, and not changes of some.
        """
        update: ListUpdate[Upstream] = list_update(
            rows, _guarded(self.decoder.upstream)
        )
        current = self.serving.directory.by_instance
        removed = set(update.removed)
        if is_complete:
            listed = {entry.instance for entry in update.changed}
            removed |= {name for name in current if name not in listed}
        removed &= set(current)
        for entry in update.changed:
            self.pending_removals.pop(entry.instance, None)
            old = current.get(entry.instance)
            self._log_change(old, entry)
            # A row of an earlier run may come back with an older copy of the store.
            if old is not None and 0 < old.started_ms < entry.started_ms:
                self.serving.record_exit(entry.instance, "started again", entry.run())
            self.serving.record_cold(entry, entry.cold_s)
            if entry.leaving:
                # Holds for this run even if an older copy of its row comes back.
                self.serving.leaving_notices.merge((entry.run(),))
        grace_end_s = self.serving.store_contact.grace_end_s
        if self.serving.clock() < grace_end_s:
            for instance in removed:
                self.pending_removals.setdefault(instance, grace_end_s)
            removed = set()
        for instance in removed:
            self.log_part.info("An upstream is no longer listed.", upstream=instance)
            self.serving.record_exit(instance, "no longer listed")
        self.serving.directory.update(update.changed, removed)
        self._post()

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

    def _post(self) -> None:
        listed = self.serving.directory.by_instance
        self.writer.post(UpstreamListSection(dict(listed)))
        update_cell(self.serving)
        self.serving.load.retain_only(listed)
        # An engine that ended is unlisted while memory is reserved for its prompt.
        self.serving.health.retain_only({*listed, *self.serving.memory_users})
        self.serving.request_limits.retain_only(listed)
        now_s = self.serving.clock()
        self.serving.leaving_notices.retain_only(listed, now_s)
        self.serving.pauses.drop_ended(now_s)
        self.serving.cold.drop_ended(now_s)


class NodeController:
    """Maintains the list of announced nodes.

    Args:
        serving: State shared by all requests.
        decoder: Translation of the store's rows.
        own_entry: This node's entry.
        on_change: Each is called with the other nodes after each update.
    """

    def __init__(
        self,
        serving: ServingState,
        decoder: RowDecoder,
        own_entry: NodeEntry,
        on_change: Iterable[Callable[[list[NodeEntry]], None]],
    ):
        self.serving = serving
        self.decoder = decoder
        self.own_entry = own_entry
        self.on_change = tuple(on_change)
        # Set when all entries were read and this node's is not among them.
        self.announcement_due = Event()
        self.writer = serving.board.writer(NodeListSection(), "node controller")

    def apply(self, rows: tuple[TableRow, ...], is_complete: bool) -> None:
        """Apply rows of the nodes' table.

        Args:
            rows: The rows.
            is_complete: Whether these are all rows, and not changes of some.
        """
        update: ListUpdate[NodeEntry] = list_update(rows, _guarded(self.decoder.node))
        current = self.serving.board.read(NodeListSection).nodes
        nodes = {} if is_complete else dict(current)
        for name in update.removed:
            nodes.pop(name, None)
        for entry in update.changed:
            nodes[entry.name] = entry
        self.writer.post(NodeListSection(nodes))
        self.serving.node_count = max(1, len(nodes))
        self.serving.zone_of_node = {node.name: node.zone for node in nodes.values()}
        update_cell(self.serving)
        if is_complete and not self.is_announced():
            self.announcement_due.set()
        peers = [n for n in nodes.values() if n.name != self.own_entry.name]
        for notify in self.on_change:
            notify(peers)

    def is_announced(self) -> bool:
        """Return whether the list has this node's entry as it is now."""
        nodes = self.serving.board.read(NodeListSection).nodes
        return nodes.get(self.own_entry.name) == self.own_entry
