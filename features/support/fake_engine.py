"""Engines without processes: the stand-in's model under a clock that tests move."""

from dataclasses import dataclass

from stand_ins.engine_state import EngineRates, EngineState

PREFILL_TOKENS_PER_S = 10_000.0
DECODE_TOKENS_PER_S = 100.0
STEP_S = 0.01
MAX_STEPS = 100_000


@dataclass
class FakeClock:
    """A clock that stands still until a test moves it."""

    now_s: float = 1000.0

    def monotonic_s(self) -> float:
        """Return the time, in seconds."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the time, in seconds."""
        return self.now_s


def make_engine(kv_tokens: int, clock: FakeClock, boot: str = "boot") -> EngineState:
    """Return an engine whose time is the clock's."""
    rates = EngineRates(kv_tokens, PREFILL_TOKENS_PER_S, DECODE_TOKENS_PER_S)
    return EngineState(rates, boot, clock=clock.monotonic_s)


def run_until_idle(engine: EngineState, step_s: float = STEP_S) -> list[str]:
    """Run an engine until no stream is open; returns the attempts as they end."""
    clock = engine.clock.__self__
    ended: list[str] = []
    for _ in range(MAX_STEPS):
        open_before = [r for r in engine.streams.values() if r.is_open()]
        if not open_before:
            return ended
        clock.now_s += step_s
        engine.step(step_s)
        ended += [run.call.attempt for run in open_before if not run.is_open()]
    raise AssertionError(f"not idle after {MAX_STEPS} steps")
