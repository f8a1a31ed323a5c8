"""Stateful fuzzing of the request path: several requests, any faults in any order."""

from asyncio import CancelledError, sleep

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from features.support.fuzz import run_machine
from features.support.request_rig import (
    REQUEST_TIMEOUT_S,
    RecordingSink,
    RequestRig,
    verdict,
)
from stand_ins.answers import whole_answer

ENGINES = 3
TICK_S = 0.05


class _Request:
    def __init__(self, rig, number, is_streamed):
        self.prompt = f"prompt {number}"
        self.sink = RecordingSink(is_streamed)
        self.deadline_s = rig.loop.time() + REQUEST_TIMEOUT_S
        self.task = rig.start(self.sink, self.prompt)
        self.expected = whole_answer(self.prompt, 8, 7)


class RequestMachine(RuleBasedStateMachine):
    """Requests over three engines, with faults at any time."""

    def __init__(self):
        super().__init__()
        self.rig = RequestRig(ENGINES)
        self.requests = []

    def _advance(self, seconds):
        self.rig.run(sleep(seconds))

    @precondition(lambda self: len(self.requests) < 6)
    @rule(is_streamed=st.booleans())
    def start(self, is_streamed):
        self.requests.append(_Request(self.rig, len(self.requests), is_streamed))
        self._advance(0.0)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 6.0, 20.0)))
    def pass_time(self, seconds):
        self._advance(seconds)

    @rule(seconds=st.sampled_from((1.0, 8.0, 70.0)))
    def pause_node(self, seconds):
        self.rig.loop.freeze(seconds)
        self._advance(TICK_S)

    @rule(
        number=st.integers(0, ENGINES - 1),
        fault=st.sampled_from(
            (
                "crash",
                "restart",
                "cut",
                "silence connections",
                "silence",
                "answer",
                "refuse",
                "accept",
                "lose attempts",
                "hang",
                "continue",
                "drop next",
                "double",
                "reorder",
                "gap",
                "repair",
            )
        ),
    )
    def fault(self, number, fault):
        engine = self.rig.engines[number]
        match fault:
            case "crash":
                engine.crash()
            case "restart":
                engine.crash()
                engine.restart()
            case "cut":
                engine.cut()
            case "silence connections":
                engine.silence_open()
            case "silence" | "answer":
                engine.silent = fault == "silence"
            case "refuse" | "accept":
                engine.refuses = fault == "refuse"
            case "lose attempts":
                engine.runs.clear()
            case "hang" | "continue":
                engine.hung = fault == "hang"
            case "drop next":
                engine.ignores_next_attempt = True
            case "double" | "reorder":
                engine.corruption = fault + ("d" if fault == "double" else "ed")
            case "gap":
                engine.corruption = "gapped"
            case "repair":
                engine.corruption = ""

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), is_cancelled=st.booleans())
    def stall_or_cancel_caller(self, data, is_cancelled):
        request = data.draw(st.sampled_from(self.requests))
        if is_cancelled:
            request.task.cancel()
        request.sink.is_blocked = True
        self._advance(TICK_S)

    @invariant()
    def answers_are_prefixes_within_deadline(self):
        for request in self.requests:
            assert request.expected.startswith(request.sink.text()), request.sink
            is_past_deadline = self.rig.loop.time() > request.deadline_s + TICK_S
            assert request.task.done() or not is_past_deadline, "past its deadline"

    def teardown(self):
        try:
            self._advance(REQUEST_TIMEOUT_S + 1.0)
            for request in self.requests:
                assert request.task.done()
                self._check(request)
            self.rig.settle()
        finally:
            self.rig.close()

    def _check(self, request):
        try:
            result = request.task.result()
        except CancelledError:
            return
        found = verdict(result, request.sink, request.prompt)
        if "not-run" in found:
            accepted_prompts = self.rig.port.accepted_prompts()
            assert request.prompt not in accepted_prompts, (found, request.prompt)


def run_request_machine(examples: int) -> None:
    """Run the machine with a fixed seed."""
    run_machine(RequestMachine, examples, 30)
