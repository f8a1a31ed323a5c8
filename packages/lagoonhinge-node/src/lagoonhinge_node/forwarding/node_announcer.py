"""Announces this node to the others in the platform's store."""

from asyncio import sleep

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.forwarding.site_store import SiteStore
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.site_controllers import NodeController
from lagoonhinge_node.forwarding.task_guards import guarded_task
from lagoonhinge_node.logs import PartLogger

RETRY_S = 0.5  # longest pause between failed calls


class NodeAnnouncer(Service):
    """Writes this node's entry when all entries were read without it.

    This is so at the first start, and after the store came back from an older copy.

    Args:
        serving: State shared by all requests.
        store: The platform's store.
        nodes: Maintains the list of announced nodes.
    """

    def __init__(self, serving: ServingState, store: SiteStore, nodes: NodeController):
        super().__init__()
        self.serving = serving
        self.store = store
        self.nodes = nodes
        self.log_part = PartLogger("store")

    @Service.task
    @guarded_task
    async def announce(self) -> None:
        """Write the entry, and again each time it is missing."""
        while not self.should_stop:
            await self.nodes.announcement_due.wait()
            self.nodes.announcement_due.clear()
            failures = 0
            while not self.nodes.is_announced() and not self.should_stop:
                self.serving.store_calls += 1
                match await self.store.announce(self.nodes.own_entry):
                    case Success(_):
                        break
                    case Failure(fault):
                        self.serving.store_contact.record_failure()
                        failures += 1
                        if failures == 1:
                            self.log_part.warning(
                                "Announcing this node failed; retrying.",
                                reason=repr(fault),
                            )
                        await sleep(RETRY_S * self.serving.random.random())
