"""Faults of the request path, each injected once when a request reaches a step."""

from features.support.request_rig import (
    REQUEST_TIMEOUT_S,
    RecordingSink,
    RequestRig,
    verdict,
)

STEPS = (
    "admission",
    "connect",
    "accept",
    "before first token",
    "mid-stream",
    "at the end mark",
    "after the end",
)
PAUSE_S = 20.0
SLACK_S = 0.1


class FaultAtStep:
    """One request with one fault at one step."""

    def __init__(self, rig: RequestRig, fault: str, step: str, is_streamed: bool):
        self.rig = rig
        self.fault = fault
        self.step = step
        self.sink = RecordingSink(is_streamed)
        self.is_pending = True
        self.task = None

    def run(self) -> str:
        """Run the request and return its verdict, after checking all is released."""
        self.rig.port.on_step = self.on_step
        if self.step == "admission":
            self.rig.on_admission(lambda: self.inject_fault(self.rig.engines[0], None))
        started_s = self.rig.loop.time()
        self.task = self.rig.start(self.sink)
        result = self.rig.finish(self.task)
        elapsed_s = self.rig.loop.time() - started_s
        if self.fault != "node paused past the deadline":
            assert elapsed_s <= REQUEST_TIMEOUT_S + SLACK_S, elapsed_s
        found = verdict(result, self.sink)
        if "not-run" in found:
            assert not self.rig.accepted(), self.rig.accepted()
        self.rig.settle()
        return found

    def on_step(self, step, engine, stream) -> None:
        """Inject the fault if this is its step."""
        if step == self.step and self.is_pending:
            self.inject_fault(engine, stream)

    def inject_fault(self, engine, stream) -> None:
        """Inject the fault."""
        self.is_pending = False
        match self.fault:
            case "engine crash":
                engine.crash()
            case "engine restart":
                engine.crash()
                engine.restart()
                self.rig.report()
            case "connection cut" if stream is None:
                engine.listens = False
            case "connection cut":
                stream.is_cut = True
            case "connection silent" if stream is None:
                engine.ignores_next_attempt = True
            case "connection silent":
                stream.is_silent = True
            case "engine silent":
                engine.silent = True
            case "engine refusing":
                engine.refuses = True
            case "attempt lost":
                engine.runs.clear()
            case "engine hung":
                engine.hung = True
            case "node paused":
                self.rig.loop.freeze(PAUSE_S)
            case "node paused past the deadline":
                self.rig.loop.freeze(2 * REQUEST_TIMEOUT_S)
            case "caller disconnected":
                self.task.cancel()
            case "caller not reading":
                self.sink.is_blocked = True
            case _:
                raise AssertionError(self.fault)


def run_with_fault(fault, step, is_streamed, engines=2) -> str:
    """Return the verdict of one cell of the fault matrix."""
    rig = RequestRig(engines)
    try:
        return FaultAtStep(rig, fault, step, is_streamed).run()
    finally:
        rig.close()
