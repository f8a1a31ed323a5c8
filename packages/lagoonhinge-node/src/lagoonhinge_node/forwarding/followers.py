"""Controllers that follow the platform's store and post what they learn."""

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
from lagoonhinge_node.forwarding.following import Backoff, Following, StoreRead
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.state import (
    NodeListSection,
    SiteConfigSection,
    UpstreamListSection,
)
from lagoonhinge_node.logs import PartLogger

FOLLOW_WAIT_S = 2.0  # well under the time within which a revoked key must be unused
# The list is read again at once when the other follower finds the store in trouble.
UPSTREAMS_WAIT_S = 6.0
NODES_WAIT_S = 20.0  # nodes come and go seldom, and a late list only costs accuracy
# Changes come in bursts; after these pauses one call reads several.
CONFIG_PAUSE_S = 0.15  # under a tenth of the time within which it is in force
UPSTREAMS_PAUSE_S = 0.5  # a quarter of the time within which a leaving one is unused
NODES_PAUSE_S = 3.0  # a start of the whole system takes about as long
# Entries that lapse while the store is away are back within about two seconds.
LAPSE_GRACE_S = 1.8
OUTAGE_S = 3.0  # without an answer, after which entries may have lapsed


class ConfigFollower(Service):
    """Keeps the newest configuration in force."""

    def __init__(self, state: ServingState, store: SiteStore):
        super().__init__()
        self.serving = state
        self.store = store
        self.log_part = PartLogger("config")
        self.writer = state.board.writer(SiteConfigSection(), "config follower")
        self.asked_s = float("-inf")

    @Service.task
    async def follow(self) -> None:
        """Read the configuration whenever it changes."""
        following = Following(
            self._read, self._take, self.serving.report_store_failure, CONFIG_PAUSE_S
        )
        await following.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ConfigUpdate]:
        self.asked_s = self.serving.clock()
        return await self.store.read_config(after, FOLLOW_WAIT_S)

    def _confirmed_s(self, update: ConfigUpdate, after: int | None) -> float:
        """Return the latest time of which the update surely tells."""
        waited_s = self.asked_s + FOLLOW_WAIT_S
        is_quiet = after is not None and update.config is None and not update.fault
        # With nothing to tell, the store answered only after the whole wait.
        if is_quiet and update.version == after and self.serving.clock() >= waited_s:
            return waited_s
        return self.asked_s

    def _take(self, update: ConfigUpdate, after: int | None) -> None:
        confirmed_s = self._confirmed_s(update, after)
        section = self.serving.board.read(SiteConfigSection)
        if update.fault:
            self.log_part.error("Unusable configuration.", reason=update.fault)
            self.writer.post(
                SiteConfigSection(section.config, update.fault, section.adopted_s)
            )
            return
        config, known = update.config, section.config
        if config is not None and (known is None or config.version > known.version):
            self.writer.post(SiteConfigSection(config, "", self.serving.clock()))
            self.log_part.info(
                "A configuration is in force.",
                version=config.version,
                accounts=len(config.accounts),
            )
        section = self.serving.board.read(SiteConfigSection)
        # A store without a configuration confirms none.
        if section.config is not None and not section.fault:
            self.serving.freshness.confirm(confirmed_s)


class UpstreamFollower(Service):
    """Keeps the list of upstreams."""

    def __init__(self, state: ServingState, store: SiteStore):
        super().__init__()
        self.serving = state
        self.store = store
        self.log_part = PartLogger("upstreams")
        self.writer = state.board.writer(UpstreamListSection(), "upstream follower")
        self.heard_s = float("-inf")
        # Whether the store failed to answer since it was last heard.
        self.in_trouble = False
        self.lapse_until_s = float("-inf")
        # Removed while the store may have been away, by the time they are gone.
        self.lapsed: dict[str, float] = {}

    @Service.task
    async def follow(self) -> None:
        """Read the list whenever it changes."""
        following = Following(
            self._read, self._take, self._note_trouble, UPSTREAMS_PAUSE_S
        )
        await following.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ListUpdate[Upstream]]:
        """Return an update, or `None` if the store's trouble ended the wait."""
        reading = create_task(self.store.read_upstreams(after, UPSTREAMS_WAIT_S))
        trouble = create_task(self.serving.store_failure.wait())
        try:
            await wait((reading, trouble), return_when=FIRST_COMPLETED)
            if reading.done():
                return reading.result()
            self._note_trouble()
            return None
        finally:
            reading.cancel()
            trouble.cancel()

    @Service.timer(0.2)
    async def drop_lapsed(self) -> None:
        """Drop upstreams that did not come back after the store did."""
        now_s = self.serving.clock()
        gone = [name for name, until_s in self.lapsed.items() if until_s <= now_s]
        for instance in gone:
            del self.lapsed[instance]
            self.log_part.info("An upstream did not come back.", upstream=instance)
            self.serving.record_exit(instance)
        if gone:
            self.serving.directory.update((), gone)
            self._post(self.serving.board.read(UpstreamListSection).version)

    def _note_trouble(self) -> None:
        self.in_trouble = True

    def _note_outage(self) -> None:
        now_s = self.serving.clock()
        if self.in_trouble and now_s - self.heard_s > OUTAGE_S:
            self.lapse_until_s = now_s + LAPSE_GRACE_S
        self.heard_s = now_s
        self.in_trouble = False

    def _take(self, update: ListUpdate[Upstream], after: int | None) -> None:
        self._note_outage()
        known = self.serving.directory.by_instance
        removed = set(update.removed)
        if after is None:
            listed = {entry.instance for entry in update.changed}
            removed |= {name for name in known if name not in listed}
        removed &= set(known)
        for entry in update.changed:
            self.lapsed.pop(entry.instance, None)
            self._log_change(known.get(entry.instance), entry)
        now_s = self.serving.clock()
        if now_s < self.lapse_until_s:
            for instance in removed:
                self.lapsed.setdefault(instance, self.lapse_until_s)
            removed = set()
        for instance in removed:
            self.log_part.info("An upstream is gone.", upstream=instance)
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


class NodeFollower(Service):
    """Announces this node and keeps the list of the others.

    Args:
        state: What all requests share.
        store: The platform's store.
        own: This node's entry.
        on_listed: Called with the other nodes whenever they change.
    """

    def __init__(
        self,
        state: ServingState,
        store: SiteStore,
        own: NodeEntry,
        on_listed: Callable[[list[NodeEntry]], None],
    ):
        super().__init__()
        self.serving = state
        self.store = store
        self.own = own
        self.on_listed = on_listed
        self.log_part = PartLogger("nodes")
        self.writer = state.board.writer(NodeListSection(), "node follower")

    @Service.task
    async def announce(self) -> None:
        """Write this node's entry until the store has it."""
        backoff = Backoff(self.serving, self.log_part)
        while not self.should_stop:
            match await self.store.announce(self.own):
                case Success(_):
                    backoff.answered()
                    return
                case Failure(fault):
                    await backoff.failed(fault)

    @Service.task
    async def follow(self) -> None:
        """Read the list whenever it changes."""
        following = Following(self._read, self._take, _ignore, NODES_PAUSE_S)
        await following.run(self, Backoff(self.serving, self.log_part))

    async def _read(self, after: int | None) -> StoreRead[ListUpdate[NodeEntry]]:
        return await self.store.read_nodes(after, NODES_WAIT_S)

    def _take(self, update: ListUpdate[NodeEntry], after: int | None) -> None:
        known = self.serving.board.read(NodeListSection).nodes
        nodes = {} if after is None else dict(known)
        for name in update.removed:
            nodes.pop(name, None)
        for entry in update.changed:
            nodes[entry.name] = entry
        self.writer.post(NodeListSection(nodes))
        self.serving.node_count = max(1, len(nodes))
        self.serving.zone_of_node = {node.name: node.zone for node in nodes.values()}
        self.on_listed([n for n in nodes.values() if n.name != self.own.name])


def _ignore() -> None:
    """Do nothing: the log tells of a lost store, and an old list still serves."""
