"""Memberships stepped without sockets, and a fuzzer that holds them to an oracle."""

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
    """Nodes that exchange digests, with an oracle of what each one was handed."""

    def __init__(self, seeds: tuple[str, ...] = (address_of(VMS[0]),)):
        self.now_s = 0.0
        self.random = Random(3)
        self.seeds = seeds
        self.incarnation = 0
        self.nodes: dict[str, SimNode] = {}
        self.cut = False
        self.sent: list[PeerDigest] = []
        self.newest: dict[tuple[NodeId, str], tuple[int, int]] = {}

    def start(self, vm: str) -> SimNode:
        """Start a new run of a VM in place of the one before."""
        self.incarnation += 1
        self.nodes[vm] = SimNode(vm, self.incarnation, self.seeds)
        return self.nodes[vm]

    def reaches(self, one: SimNode, other: SimNode | None) -> bool:
        """Return whether a message gets through."""
        return other is not None and (not self.cut or one.zone == other.zone)

    def hand(self, node: SimNode, digest: PeerDigest) -> None:
        """Hand a digest to a node, and note in the oracle what it must know now."""
        self.sent.append(digest)
        node.membership.apply_digest(digest, self.now_s)
        sender = parse_node_id(digest.node)
        if sender.vm != node.vm:
            key = (node.id, sender.vm)
            version = (sender.incarnation, digest.seq)
            self.newest[key] = max(version, self.newest.get(key, (0, 0)))

    def round(self, vm: str) -> None:
        """Let one node do a round of gossip."""
        node = self.nodes[vm]
        for target in node.membership.targets(self.now_s, self.random):
            other = self.nodes.get(target.address.partition(":")[0])
            if not self.reaches(node, other):
                node.membership.record_failure(target.address, self.now_s)
                continue
            self.hand(other, node.digest())
            self.hand(node, other.digest())
            node.membership.add_contacts(other.membership.contacts())

    def rounds(self, count: int) -> None:
        """Let every node do rounds of gossip."""
        for _ in range(count):
            self.now_s += INTERVAL_S
            for vm in tuple(self.nodes):
                self.round(vm)

    def list_to(self, vm: str, named: set[str]) -> None:
        """Hand a node a list of the platform that names these VMs."""
        entries = (
            VmEntry(n, ZONE_OF[n], address_of(n), ENTRY_ROLE, VmState.LIVE)
            for n in sorted(named)
        )
        self.nodes[vm].membership.apply_vm_list(tuple(entries), self.now_s)

    def check_never_older(self) -> None:
        """Check every node's knowledge against the oracle."""
        for node in self.nodes.values():
            for vm, record in node.membership.records.items():
                known = (record.node.incarnation, record.seq())
                assert known == self.newest.get((node.id, vm), (0, 0)), (node.id, vm)

    def check_converged(self) -> None:
        """Check that the running nodes, and no others, are alive to each other."""
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
    def die(self, vm):
        self.net.nodes.pop(vm, None)

    @rule(cut=st.booleans())
    def cut_zones(self, cut):
        self.net.cut = cut

    @rule(count=st.integers(1, 8))
    def gossip(self, count):
        self.net.rounds(count)

    @rule(wait_s=st.floats(0.1, 30.0))
    def wait(self, wait_s):
        self.net.now_s += wait_s

    @precondition(lambda self: self.net.sent)
    @rule(data=st.data(), vm=st.sampled_from(VMS))
    def deliver_late(self, data, vm):
        digest = data.draw(st.sampled_from(self.net.sent))
        if vm in self.net.nodes:
            self.net.hand(self.net.nodes[vm], digest)

    @rule(vm=st.sampled_from(VMS), named=st.sets(st.sampled_from(VMS)))
    def read_lagging_list(self, vm, named):
        if vm in self.net.nodes:
            self.net.list_to(vm, named)

    @invariant()
    def knows_the_newest_it_was_handed(self):
        self.net.check_never_older()

    def teardown(self):
        self.net.cut = False
        self.net.rounds(SETTLING_ROUNDS)
        self.net.check_never_older()
        self.net.check_converged()
