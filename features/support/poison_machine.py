"""Stateful fuzzing of strikes against a dictionary: one killer, many bystanders."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from features.support.fuzz import run_machine
from lagoonhinge_core.peer_messages import Strike
from lagoonhinge_core.poison import (
    CONCLUSIVE_CRASHES,
    STRIKE_COLLECTION_S,
    PoisonLedger,
    Quarantined,
    Suspect,
)

KILLER = "killer"
BYSTANDERS = ("b0", "b1", "b2", "b3")
NODES = 3


class PoisonMachine(RuleBasedStateMachine):
    """Nodes share strikes late and in any order; the killer runs where it may."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.nodes = [PoisonLedger() for _ in range(NODES)]
        self.deaths = []
        self.seen_at = {name: set() for name in (KILLER, *BYSTANDERS)}

    def _standing(self, node, name):
        return self.nodes[node].prompt_status(name, self.now_s)

    @rule(
        node=st.integers(0, NODES - 1),
        beside=st.sets(st.sampled_from(BYSTANDERS), max_size=3),
    )
    def run_killer(self, node, beside):
        standing = self._standing(node, KILLER)
        if isinstance(standing, Quarantined):
            return
        if isinstance(standing, Suspect):
            if self.now_s < standing.since_wall_s + STRIKE_COLLECTION_S:
                return
            self.nodes[node].expire(self.now_s)
            if isinstance(self._standing(node, KILLER), Quarantined):
                return
            beside = {
                name
                for name in beside
                if not isinstance(self._standing(node, name), Suspect)
            }
        death = f"u{len(self.deaths)}"
        self.deaths.append(death)
        for name in (KILLER, *sorted(beside)):
            self.seen_at[name].add(death)
            strike = Strike(name, death, "1", self.now_s)
            self.nodes[node].add((strike,), self.now_s)

    @rule(seconds=st.sampled_from((0.1, 2.0)))
    def wait(self, seconds):
        self.now_s += seconds
        for node in self.nodes:
            node.expire(self.now_s)

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def gossip(self, sender, receiver):
        source = self.nodes[sender]
        self.nodes[receiver].add(tuple(source.strikes.values()), self.now_s)
        self.nodes[receiver].add_quarantines(
            tuple(source.quarantines.values()), self.now_s
        )

    @rule(node=st.integers(0, NODES - 1), name=st.sampled_from(BYSTANDERS))
    def complete(self, node, name):
        if not isinstance(self._standing(node, name), Quarantined):
            self.now_s += 0.1
            self.nodes[node].complete(name, self.now_s)
            self.now_s += 0.1

    @invariant()
    def bystanders_of_few_deaths_are_free(self):
        for node in range(NODES):
            for name in BYSTANDERS:
                if len(self.seen_at[name]) < CONCLUSIVE_CRASHES:
                    assert not isinstance(self._standing(node, name), Quarantined)

    @invariant()
    def no_node_lets_the_killer_kill_for_ever(self):
        # Without any gossip, each node finds it out by itself.
        assert len(self.deaths) <= NODES * CONCLUSIVE_CRASHES, self.deaths


def run_poison_machine(examples: int) -> None:
    """Run the machine with a fixed seed."""
    run_machine(PoisonMachine, examples, 30)
