"""A fuzzer of configuration changes against an oracle of the accepted rows."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from returns.result import Failure, Success

from features.support.config_world import NODES, ConfigWorld, changes_of
from lagoonhinge_ctl.accept import LostRace, NotAccepted

FAULTS = ("", "reply lost", "held up", "late reply")
SETTLING_ROUNDS = 4


def check_results(world: ConfigWorld) -> None:
    """Check what operators were told against the rows that were ever accepted."""
    accepted = world.platform.accepted
    for result in world.results:
        match result:
            case Success(ours):
                assert accepted[ours.version] == ours, ours
            case Failure(LostRace(ours, theirs)):
                assert ours.change not in changes_of(world), ours
                assert accepted[theirs.version] == theirs, theirs
            case Failure(NotAccepted()):
                pass
    wins = [r.unwrap().change for r in world.results if isinstance(r, Success)]
    undecided = len(world.results) - len(wins)
    assert len(accepted) <= len(set(wins)) + undecided, (accepted, world.results)


class ConfigMachine(RuleBasedStateMachine):
    """Changes, races, faults of the platform, replaced and cut off nodes."""

    def __init__(self):
        super().__init__()
        self.world = ConfigWorld()
        self.number = 0

    @rule(fault=st.sampled_from(FAULTS), same=st.booleans())
    def accept(self, fault, same):
        self.number += not same
        self.world.platform.faults.once = fault
        self.world.run(self.world.accept(self.number))
        self.world.platform.faults.once = ""

    @rule(step=st.sampled_from(("row write", "row write reply", "blob put")))
    def race(self, step):
        world = self.world
        self.number += 2
        rival = self.number

        async def rival_first(reached):
            if reached == f"operator {step}":
                world.platform.hook = None
                await world.accept(rival, "bob")

        world.platform.hook = rival_first
        world.run(world.accept(rival - 1))
        world.platform.hook = None

    @rule(down=st.booleans(), objects_down=st.booleans())
    def set_platform(self, down, objects_down):
        self.world.platform.faults.down = down
        self.world.platform.faults.objects_down = objects_down

    @rule()
    def deliver_held(self):
        self.world.platform.deliver_held()

    @rule(vm=st.sampled_from(NODES), fault=st.sampled_from(FAULTS))
    def step_node(self, vm, fault):
        self.world.platform.faults.once = fault
        self.world.run(self.world.nodes[vm].step())
        self.world.platform.faults.once = ""

    @rule(vm=st.sampled_from(NODES))
    def replace_node(self, vm):
        self.world.replace_node(vm)

    @rule(vm=st.sampled_from(NODES), cut=st.booleans())
    def cut_off(self, vm, cut):
        self.world.cut_off(vm, cut)

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.world.clock.now_s += seconds

    @invariant()
    def versions_are_accepted_and_never_fall(self):
        for node in self.world.nodes.values():
            node.check()

    def teardown(self):
        try:
            self.world.heal()
            self.world.run(self.world.step_nodes(SETTLING_ROUNDS))
            self.world.check_settled()
            check_results(self.world)
        finally:
            self.world.runner.close()
