"""Simulated gossip between memberships, and a fuzzer that checks it with an oracle."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lagoonhinge_core.identity import NodeId, parse_node_id
from lagoonhinge_core.membership import ENTRY_ROLE, Membership
from lagoonhinge_core.peer_messages import PeerDigest
from lagoonhinge_core.store_messages import VmEntry, VmState

ZONE_OF = {f"vm-{n}": f"zone-{n % 2}" for n in range(5)}
VMS = tuple(ZONE_OF)
INTERVAL_S = 1.0
SETTLING_ROUNDS = 60


def address_of(vm: str) -> str:
    """Return the control address of a VM, the same for all of its runs."""
    return f"{vm}:1"


class SimNode:
    """One run of a node: its membership and the sequence of its digests."""

    def __init__(self, vm: str, incarnation: int, seeds: tuple[str, ...]):
        self.vm = vm
        self.zone = ZONE_OF[vm]
        self.id = NodeId(vm, incarnation)
        self.seq = 0
        self.membership = Membership(
            self.id, self.zone, address_of(vm), INTERVAL_S, seeds
        )

    def digest(self, **fields) -> PeerDigest:
        """Return the next digest."""
        self.seq += 1
        return PeerDigest(
            str(self.id), self.seq, address_of(self.vm), self.zone, 0, **fields
        )


class SimNetwork:
    """Nodes that exchange digests, with an oracle of the newest digests delivered."""

    def __init__(self, seeds: tuple[str, ...] = (address_of(VMS[0]),)):
        self.now_s = 0.0
        self.random = Random(3)
        self.seeds = seeds
        self.incarnation = 0
        self.nodes: dict[str, SimNode] = {}
        self.is_partitioned = False
        self.sent_digests: list[PeerDigest] = []
        self.newest_versions: dict[tuple[NodeId, str], tuple[int, int]] = {}

    def start(self, vm: str) -> SimNode:
        """Start a new run of a VM in place of the one before."""
        self.incarnation += 1
        self.nodes[vm] = SimNode(vm, self.incarnation, self.seeds)
        return self.nodes[vm]

    def can_reach(self, sender: SimNode, receiver: SimNode | None) -> bool:
        """Return whether a message is delivered."""
        return receiver is not None and (
            not self.is_partitioned or sender.zone == receiver.zone
        )

    def deliver(self, node: SimNode, digest: PeerDigest) -> None:
        """Deliver a digest to a node and record it in the oracle."""
        self.sent_digests.append(digest)
        node.membership.apply_digest(digest, self.now_s)
        sender = parse_node_id(digest.node)
        if sender.vm != node.vm:
            key = (node.id, sender.vm)
            version = (sender.incarnation, digest.seq)
            self.newest_versions[key] = max(
                version, self.newest_versions.get(key, (0, 0))
            )

    def run_round(self, vm: str) -> None:
        """Run a round of gossip at one node."""
        node = self.nodes[vm]
        for target in node.membership.targets(self.now_s, self.random):
            receiver = self.nodes.get(target.address.partition(":")[0])
            if not self.can_reach(node, receiver):
                node.membership.record_failure(target.address, self.now_s)
                continue
            self.deliver(receiver, node.digest())
            self.deliver(node, receiver.digest())
            node.membership.add_contacts(receiver.membership.contacts())

    def run_rounds(self, count: int) -> None:
        """Run rounds of gossip at every node."""
        for _ in range(count):
            self.now_s += INTERVAL_S
            for vm in tuple(self.nodes):
                self.run_round(vm)

    def send_vm_list(self, vm: str, listed: set[str]) -> None:
        """Deliver a VM list of the platform with these VMs to a node."""
        entries = (
            VmEntry(n, ZONE_OF[n], address_of(n), ENTRY_ROLE, VmState.LIVE)
            for n in sorted(listed)
        )
        self.nodes[vm].membership.apply_vm_list(tuple(entries), self.now_s)

    def check_newest_held(self) -> None:
        """Check that every node holds the newest digests delivered to it."""
        for node in self.nodes.values():
            for vm, record in node.membership.records.items():
                held = (record.node.incarnation, record.seq())
                assert held == self.newest_versions.get((node.id, vm), (0, 0)), (
                    node.id,
                    vm,
                )

    def check_converged(self) -> None:
        """Check that each node marks exactly the other running nodes as alive."""
        for node in self.nodes.values():
            members = node.membership.members(self.now_s).members
            alive = {m.node for m in members.values() if m.alive}
            others = {other.id for other in self.nodes.values()} - {node.id}
            assert alive == others, (node.id, alive, others)


class MembershipMachine(RuleBasedStateMachine):
    """Restarts, late digests, partitions and a lagging list, in any order."""

    def __init__(self):
        super().__init__()
        self.net = SimNetwork()
        for vm in VMS:
            self.net.start(vm)

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        self.net.start(vm)

    @rule(vm=st.sampled_from(VMS[1:]))
    def crash(self, vm):
        self.net.nodes.pop(vm, None)

    @rule(is_partitioned=st.booleans())
    def partition_zones(self, is_partitioned):
        self.net.is_partitioned = is_partitioned

    @rule(count=st.integers(1, 8))
    def gossip(self, count):
        self.net.run_rounds(count)

    @rule(wait_s=st.floats(0.1, 30.0))
    def pass_time(self, wait_s):
        self.net.now_s += wait_s

    @precondition(lambda self: self.net.sent_digests)
    @rule(data=st.data(), vm=st.sampled_from(VMS))
    def deliver_stale_digest(self, data, vm):
        digest = data.draw(st.sampled_from(self.net.sent_digests))
        if vm in self.net.nodes:
            self.net.deliver(self.net.nodes[vm], digest)

    @rule(vm=st.sampled_from(VMS), listed=st.sets(st.sampled_from(VMS)))
    def read_lagging_list(self, vm, listed):
        if vm in self.net.nodes:
            self.net.send_vm_list(vm, listed)

    @invariant()
    def holds_the_newest_delivered(self):
        self.net.check_newest_held()

    def teardown(self):
        self.net.is_partitioned = False
        self.net.run_rounds(SETTLING_ROUNDS)
        self.net.check_newest_held()
        self.net.check_converged()
