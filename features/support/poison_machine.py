"""Stateful fuzzing of strikes with one harmful and several harmless prompts."""

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

HARMFUL = "harmful"
HARMLESS = ("harmless-0", "harmless-1", "harmless-2", "harmless-3")
NODES = 3


class PoisonMachine(RuleBasedStateMachine):
    """Nodes gossip strikes in any order; the harmful prompt runs if allowed."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.nodes = [PoisonLedger() for _ in range(NODES)]
        self.crashes = []
        self.crashes_by_prompt = {prompt: set() for prompt in (HARMFUL, *HARMLESS)}

    def _status(self, node, prompt):
        return self.nodes[node].prompt_status(prompt, self.now_s)

    @rule(
        node=st.integers(0, NODES - 1),
        concurrent=st.sets(st.sampled_from(HARMLESS), max_size=3),
    )
    def run_harmful(self, node, concurrent):
        status = self._status(node, HARMFUL)
        if isinstance(status, Quarantined):
            return
        if isinstance(status, Suspect):
            if self.now_s < status.since_wall_s + STRIKE_COLLECTION_S:
                return
            self.nodes[node].expire(self.now_s)
            if isinstance(self._status(node, HARMFUL), Quarantined):
                return
            concurrent = {
                prompt
                for prompt in concurrent
                if not isinstance(self._status(node, prompt), Suspect)
            }
        crash = f"u{len(self.crashes)}"
        self.crashes.append(crash)
        for prompt in (HARMFUL, *sorted(concurrent)):
            self.crashes_by_prompt[prompt].add(crash)
            strike = Strike(prompt, crash, "1", self.now_s)
            self.nodes[node].add((strike,), self.now_s)

    @rule(seconds=st.sampled_from((0.1, 2.0)))
    def pass_time(self, seconds):
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

    @rule(node=st.integers(0, NODES - 1), prompt=st.sampled_from(HARMLESS))
    def complete(self, node, prompt):
        if not isinstance(self._status(node, prompt), Quarantined):
            self.now_s += 0.1
            self.nodes[node].complete(prompt, self.now_s)
            self.now_s += 0.1

    @invariant()
    def harmless_prompts_of_few_crashes_are_not_quarantined(self):
        for node in range(NODES):
            for prompt in HARMLESS:
                if len(self.crashes_by_prompt[prompt]) < CONCLUSIVE_CRASHES:
                    assert not isinstance(self._status(node, prompt), Quarantined)

    @invariant()
    def crashes_are_bounded(self):
        # Without any gossip, each node quarantines the prompt by itself.
        assert len(self.crashes) <= NODES * CONCLUSIVE_CRASHES, self.crashes


def run_poison_machine(examples: int) -> None:
    """Run the machine with a fixed seed."""
    run_machine(PoisonMachine, examples, 30)
