"""In-process engines: the stand-in's model on a clock that tests advance."""

from dataclasses import dataclass

from stand_ins.engine_state import EngineRates, EngineState

PREFILL_TOKENS_PER_S = 10_000.0
DECODE_TOKENS_PER_S = 100.0
STEP_S = 0.01
MAX_STEPS = 100_000


@dataclass
class FakeClock:
    """A clock that only tests advance."""

    now_s: float = 1000.0

    def monotonic_s(self) -> float:
        """Return the time, in seconds."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the time, in seconds."""
        return self.now_s


def make_engine(kv_tokens: int, clock: FakeClock, boot: str = "boot") -> EngineState:
    """Return an engine that runs on a clock."""
    rates = EngineRates(kv_tokens, PREFILL_TOKENS_PER_S, DECODE_TOKENS_PER_S)
    return EngineState(rates, boot, clock=clock.monotonic_s)


def run_until_idle(engine: EngineState, step_s: float = STEP_S) -> list[str]:
    """Run an engine until no stream is open; return the attempts as they ended."""
    clock = engine.clock.__self__
    ended_attempts: list[str] = []
    for _ in range(MAX_STEPS):
        open_runs = [r for r in engine.streams.values() if r.is_open()]
        if not open_runs:
            return ended_attempts
        clock.now_s += step_s
        engine.step(step_s)
        ended_attempts += [run.call.attempt for run in open_runs if not run.is_open()]
    raise AssertionError(f"not idle after {MAX_STEPS} steps")
