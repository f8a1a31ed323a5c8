"""Stateful fuzzing of what upstreams say of themselves, and of requests meanwhile."""

from asyncio import sleep
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features.support.fuzz import run_machine
from features.support.notice_fleet import (
    DELAY_S,
    DESK,
    LONG_PROMPT,
    MODELS,
    FakeUpstream,
    NoticeFleet,
)
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.messages import PromptSize

NODES = ("n0", "n1")
SHORT_PROMPT = PromptSize(1000, 100)
SIZES = (None, SHORT_PROMPT, LONG_PROMPT)
UPSTREAMS = ("d0", "d1", "e0", "e1", "e2")


class NoticeMachine(RuleBasedStateMachine):
    """Two nodes before two plain upstreams and three engines."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        upstreams = {
            name: FakeUpstream(DESK if name.startswith("d") else MODELS)
            for name in UPSTREAMS
        }
        self.fleet = NoticeFleet(self.loop, Random(1), NODES, upstreams)
        # Rows as of earlier moments, which an older copy of the store brings back.
        self.copies = [self.fleet.rows()]
        for name in NODES:
            self.run(self.fleet.start_node(name))

    def run(self, work) -> None:
        """Run a coroutine."""
        self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from((0.001, 0.02, 0.2, 0.6, 3.0)))
    def pass_time(self, seconds):
        self.run(sleep(seconds))

    @rule(
        node=st.sampled_from(NODES),
        sizes=st.lists(st.sampled_from(SIZES), min_size=1, max_size=4),
        seconds=st.sampled_from((0.0, 0.001, 0.05)),
    )
    def send_requests(self, node, sizes, seconds):
        async def send() -> None:
            for size in sizes:
                self.fleet.nodes[node].start_request(size)
            await sleep(seconds)

        self.run(send())

    @rule(
        name=st.sampled_from(UPSTREAMS),
        leaving=st.booleans(),
        pauses_s=st.sampled_from(((), (), (0.05,), (5.0,), (5.0, 0.05, 0.4))),
        delay_s=st.sampled_from((DELAY_S, DELAY_S, 0.1, 0.5)),
    )
    def change_answers(self, name, leaving, pauses_s, delay_s):
        upstream = self.fleet.upstreams[name]
        # A run that leaves does not take it back.
        upstream.leaving |= leaving
        upstream.pauses_s, upstream.delay_s = pauses_s, delay_s

    @rule(name=st.sampled_from(UPSTREAMS), row=st.sampled_from((False, True, None)))
    def change_row(self, name, row):
        self.copies.append(self.fleet.rows())
        self.fleet.upstreams[name].row = row

    @rule(name=st.sampled_from(UPSTREAMS))
    def restart_upstream(self, name):
        self.copies.append(self.fleet.rows())
        old = self.fleet.upstreams[name]
        self.fleet.upstreams[name] = FakeUpstream(old.service, old.started_ms + 1)

    @rule(node=st.sampled_from(NODES))
    def read_rows(self, node):
        self.fleet.nodes[node].apply(self.fleet.rows(), True)

    @rule(node=st.sampled_from(NODES), data=st.data())
    def read_older_copy(self, node, data):
        index = data.draw(st.integers(0, len(self.copies) - 1))
        contact = self.fleet.nodes[node].serving.store_contact
        contact.record_older_copy(self.loop.time())
        self.fleet.nodes[node].apply(self.copies[index], True)

    @rule(
        node=st.sampled_from(NODES),
        name=st.sampled_from(UPSTREAMS),
        restarts=st.booleans(),
        data=st.data(),
    )
    def lose_rows(self, node, name, restarts, data):
        """Let the store come back without rows, and again with those of a copy."""
        self.fleet.upstreams[name].leaving = True
        self.send_requests(node, SIZES * 2, 0.05)
        if restarts:
            self.restart_upstream(name)
            self.fleet.upstreams[name].row = True
            self.read_rows(node)
        self.fleet.nodes[node].apply((), True)
        self.pass_time(0.3)
        self.read_older_copy(node, data)
        self.send_requests(node, SIZES * 2, 0.01)

    @rule(node=st.sampled_from(NODES))
    def restart_node(self, node):
        self.run(self.fleet.stop_node(node))
        self.run(self.fleet.start_node(node))

    @rule(
        loss=st.sampled_from((0.0, 0.5)),
        lateness_s=st.sampled_from((0.0, 0.3)),
        reserve_s=st.sampled_from((DELAY_S, 0.1, 0.5)),
    )
    def change_network(self, loss, lateness_s, reserve_s):
        self.fleet.loss, self.fleet.lateness_s = loss, lateness_s
        self.fleet.reserve_s = reserve_s

    @invariant()
    def no_request_to_closed_upstreams(self):
        assert not self.fleet.wrong_sends, self.fleet.wrong_sends

    def teardown(self):
        """Check the end state, and end all nodes."""
        try:
            self.pass_time(1.0)
            self.no_request_to_closed_upstreams()
        finally:
            for name in tuple(self.fleet.nodes):
                self.run(self.fleet.stop_node(name))
            self.loop.close()


def run_notice_machine(examples: int) -> None:
    """Run the machine with a fixed seed."""
    run_machine(NoticeMachine, examples, 25)
