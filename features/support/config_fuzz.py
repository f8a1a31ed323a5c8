"""Random configuration changes, checked against the accepted rows."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from returns.result import Failure, Success

from features.support.config_simulation import NODES, ConfigSimulation, changes_of
from lagoonhinge_ctl.config_acceptance import ChangeConflict, NotAccepted

FAULTS = ("", "reply lost", "write delayed", "stale reply")
SETTLING_ROUNDS = 4


def check_results(sim: ConfigSimulation) -> None:
    """Check the results of the operators against the accepted rows."""
    accepted = sim.platform.accepted
    for result in sim.results:
        match result:
            case Success(ours):
                assert accepted[ours.version] == ours, ours
            case Failure(ChangeConflict(ours, theirs)):
                assert ours.change not in changes_of(sim), ours
                assert accepted[theirs.version] == theirs, theirs
            case Failure(NotAccepted()):
                pass
    successes = [r.unwrap().change for r in sim.results if isinstance(r, Success)]
    undecided = len(sim.results) - len(successes)
    assert len(accepted) <= len(set(successes)) + undecided, (accepted, sim.results)


class ConfigMachine(RuleBasedStateMachine):
    """Changes, races, platform faults, and replaced or cut-off nodes."""

    def __init__(self):
        super().__init__()
        self.sim = ConfigSimulation()
        self.last_change = 0

    @rule(fault=st.sampled_from(FAULTS), is_repeat=st.booleans())
    def accept(self, fault, is_repeat):
        self.last_change += not is_repeat
        self.sim.platform.faults.once = fault
        self.sim.run(self.sim.accept(self.last_change))
        self.sim.platform.faults.once = ""

    @rule(step=st.sampled_from(("row write", "row write reply", "blob put")))
    def race(self, step):
        sim = self.sim
        self.last_change += 2
        first_change = self.last_change

        async def accept_first(current_step):
            if current_step == f"operator {step}":
                sim.platform.hook = None
                await sim.accept(first_change, "bob")

        sim.platform.hook = accept_first
        sim.run(sim.accept(first_change - 1))
        sim.platform.hook = None

    @rule(down=st.booleans(), objects_down=st.booleans())
    def set_platform(self, down, objects_down):
        self.sim.platform.faults.down = down
        self.sim.platform.faults.objects_down = objects_down

    @rule()
    def deliver_delayed(self):
        self.sim.platform.deliver_delayed()

    @rule(vm=st.sampled_from(NODES), fault=st.sampled_from(FAULTS))
    def step_node(self, vm, fault):
        self.sim.platform.faults.once = fault
        self.sim.run(self.sim.nodes[vm].step())
        self.sim.platform.faults.once = ""

    @rule(vm=st.sampled_from(NODES))
    def replace_node(self, vm):
        self.sim.replace_node(vm)

    @rule(vm=st.sampled_from(NODES), is_cut_off=st.booleans())
    def cut_off(self, vm, is_cut_off):
        self.sim.cut_off(vm, is_cut_off)

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.sim.clock.now_s += seconds

    @invariant()
    def versions_are_accepted_and_never_decrease(self):
        for node in self.sim.nodes.values():
            node.check()

    def teardown(self):
        try:
            self.sim.end_faults()
            self.sim.run(self.sim.step_nodes(SETTLING_ROUNDS))
            self.sim.check_settled()
            check_results(self.sim)
        finally:
            self.sim.runner.close()
