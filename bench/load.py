"""Load experiments on real processes; every figure is a ratio within one run."""

from asyncio import run
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from cappa import Arg, command, parse
from hdrh.histogram import HdrHistogram
from matplotlib import use
from matplotlib.pyplot import close, subplots

from bench.load_fleet import SCALE, SITES, LoadFleet
from bench.open_loop import (
    Answer,
    OpenLoop,
    Stream,
    arrivals,
    sequential_arrivals,
)

OUTPUT_DIR = Path(__file__).parent / "out"
MAX_US = 200_000_000  # highest time in the histograms
SHORT_TOKENS = (200, 4_000)  # shortest and longest
LONG_TOKENS = (100_000, 300_000)  # shortest and longest
LONG_SHARE = 0.05
WARM_UP_S = 4.0
POLICIES = ("length_aware", "least_in_flight", "round_robin")
DEFAULT_TIMEOUT_S = 90.0
OVERLOAD_TIMEOUT_S = 6.0
IMMEDIATE_S = 0.15  # shorter than the interval at which queued requests are checked


@dataclass
class Block:
    """Answers of all rounds of one block."""

    name: str
    answers: list[Answer] = field(default_factory=list)

    def first_token_times(self, answers: Iterable[Answer]) -> HdrHistogram:
        """Return the first-token times of complete answers, in microseconds."""
        histogram = HdrHistogram(1, MAX_US, 3)
        for answer in answers:
            if answer.is_complete:
                histogram.record_value(int(answer.first_token_s * 1e6))
        return histogram

    def short_prompt_times(self) -> HdrHistogram:
        """Return the first-token times of short prompts, in microseconds."""
        return self.first_token_times(
            a for a in self.answers if a.arrival.tokens <= SHORT_TOKENS[1]
        )

    def long_prompt_times(self) -> HdrHistogram:
        """Return the first-token times of long prompts, in microseconds."""
        return self.first_token_times(
            a for a in self.answers if a.arrival.tokens >= LONG_TOKENS[0]
        )

    def complete_count(self) -> int:
        """Return the number of complete answers."""
        return sum(answer.is_complete for answer in self.answers)


def mixed_streams(
    site_accounts: tuple[str, ...], tokens_per_s: float
) -> tuple[Stream, ...]:
    """Return streams of short and long prompts that offer `tokens_per_s` together."""
    short = Stream(site_accounts, 1.0, *SHORT_TOKENS)
    long = Stream(site_accounts, 1.0, *LONG_TOKENS)
    mean = (1 - LONG_SHARE) * short.mean_tokens() + LONG_SHARE * long.mean_tokens()
    per_s = tokens_per_s / mean
    return (
        Stream(site_accounts, per_s * (1 - LONG_SHARE), *SHORT_TOKENS),
        Stream(site_accounts, per_s * LONG_SHARE, *LONG_TOKENS),
    )


def describe(name: str, histogram: HdrHistogram) -> str:
    """Return the percentiles of first-token times, in milliseconds."""
    points = (50, 95, 99)
    values = (histogram.get_value_at_percentile(p) / 1000 for p in points)
    text = "  ".join(
        f"p{p} {value:8.1f} ms" for p, value in zip(points, values, strict=True)
    )
    return f"{name:28} n {histogram.get_total_count():5}  {text}"


def ratio(dividend: HdrHistogram, divisor: HdrHistogram, percentile: float) -> float:
    """Return the ratio of a percentile of two histograms."""
    divisor_us = divisor.get_value_at_percentile(percentile)
    return dividend.get_value_at_percentile(percentile) / max(1, divisor_us)


def jain_index(values: list[float]) -> float:
    """Return Jain's index of fairness."""
    squares = len(values) * sum(value * value for value in values)
    return sum(values) ** 2 / squares if squares else 0.0


@command(name="load")
@dataclass
class Load:
    """Run one experiment against a fleet on loopback."""

    experiment: Annotated[
        Literal["shorts", "longs", "heavy", "overload"], Arg(help="Experiment to run.")
    ]
    site: Annotated[str, Arg(long=True, help="perth or lagos.")] = "perth"
    nodes: Annotated[int, Arg(long=True, help="Nodes, 1 to 3.")] = 1
    block_s: Annotated[float, Arg(long=True, help="Block length, in seconds.")] = 20.0
    rounds: Annotated[int, Arg(long=True, help="Repetitions of each block.")] = 2
    seed: Annotated[int, Arg(long=True, help="Seed of the arrivals.")] = 1

    def __call__(self) -> None:
        """Start the fleet, run the experiment and print the figures."""
        use("Agg")
        preset = SITES[self.site]
        print(f"{self.experiment} at {self.site}, {self.nodes} nodes; scale: {SCALE}")
        self.preset = preset
        self.blocks: dict[str, Block] = {}
        self.fleet = LoadFleet(preset, self.nodes)
        try:
            match self.experiment:
                case "shorts":
                    run(self.shorts())
                case "longs":
                    run(self.longs())
                case "heavy":
                    run(self.heavy())
                case "overload":
                    run(self.overload())
        finally:
            self.fleet.stop()

    async def run_block(
        self,
        name: str,
        placement: str,
        streams: tuple[Stream, ...],
        number: int,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> list[Answer]:
        """Run one block and record its answers under a name."""
        self.fleet.apply_placement(placement)
        loop = OpenLoop(self.fleet.urls(), timeout_s)
        if not self.blocks:
            # Warm up new processes, which are slow at first, outside the first block.
            await loop.run(arrivals(streams[:1], WARM_UP_S, self.seed + 1000))
        planned = arrivals(streams, self.block_s, self.seed + number)
        answers = await loop.run(planned)
        self.blocks.setdefault(name, Block(name)).answers += answers
        return answers

    async def shorts(self) -> None:
        """Compare short prompts alone with a mix at 70% load, by policy."""
        offered = 0.7 * self.preset.capacity_tokens_per_s()
        streams = mixed_streams(self.preset.account_names(), offered)
        for number in range(self.rounds):
            await self.run_block("shorts alone", "length_aware", streams[:1], number)
            for policy in POLICIES:
                await self.run_block(policy, policy, streams, number)
        alone = self.blocks["shorts alone"].short_prompt_times()
        print(describe("shorts alone", alone))
        for policy in POLICIES:
            block = self.blocks[policy]
            print(describe(f"{policy}, shorts", block.short_prompt_times()))
            print(describe(f"{policy}, longs", block.long_prompt_times()))
            print(
                f"{policy}: shorts' p99 "
                f"{ratio(block.short_prompt_times(), alone, 99):.2f} times "
                f"alone; {block.complete_count()} of {len(block.answers)} whole"
            )
        self.plot(
            {block.name: block.short_prompt_times() for block in self.blocks.values()}
        )

    async def longs(self) -> None:
        """Compare long prompts on an idle fleet with a mix at 50% load."""
        offered = 0.5 * self.preset.capacity_tokens_per_s()
        streams = mixed_streams(self.preset.account_names(), offered)
        empty = Block("empty fleet")
        for number in range(self.rounds):
            self.fleet.apply_placement("length_aware")
            loop = OpenLoop(self.fleet.urls(), DEFAULT_TIMEOUT_S)
            planned = sequential_arrivals(streams[1], 5, self.seed + number)
            empty.answers += await loop.run_sequentially(planned)
            for policy in POLICIES[:2]:
                await self.run_block(policy, policy, streams, number)
        print(describe("empty fleet, longs", empty.long_prompt_times()))
        for policy in POLICIES[:2]:
            long_times = self.blocks[policy].long_prompt_times()
            print(describe(f"{policy}, longs", long_times))
            # Prompt lengths differ between blocks; the slowdown is relative to them.
            print(
                f"{policy}: longs' p95 "
                f"{ratio(long_times, empty.long_prompt_times(), 95):.2f} times "
                f"empty; slowdown p95 "
                f"{self.slowdown(self.blocks[policy]) / self.slowdown(empty):.2f} times"
            )
        self.plot(
            {b.name: b.long_prompt_times() for b in (empty, *self.blocks.values())}
        )

    def slowdown(self, block: Block) -> float:
        """Return the p95 of first-token time divided by the prompt's prefill time."""
        rate = self.preset.prefill_tokens_per_s
        factors = sorted(
            answer.first_token_s / (answer.arrival.tokens / rate)
            for answer in block.answers
            if answer.is_complete and answer.arrival.tokens >= LONG_TOKENS[0]
        )
        return factors[int(0.95 * (len(factors) - 1))]

    async def heavy(self) -> None:
        """Compare equal accounts at 60% load, without and with one at tenfold load."""
        names = self.preset.account_names()
        capacity = self.preset.capacity_tokens_per_s()
        mean = Stream(names, 1.0, *SHORT_TOKENS).mean_tokens()
        per_account_per_s = 0.6 * capacity / len(names) / mean
        others = Stream(names[1:], per_account_per_s * (len(names) - 1), *SHORT_TOKENS)
        baseline = Stream(names[:1], per_account_per_s, *SHORT_TOKENS)
        tenfold = Stream(names[:1], 10 * per_account_per_s, *SHORT_TOKENS)
        for number in range(self.rounds):
            await self.run_block("usual", "length_aware", (others, baseline), number)
            await self.run_block(
                "tenfold", "length_aware", (others, tenfold), number, OVERLOAD_TIMEOUT_S
            )
            all_accounts = Stream(names, 1.5 * capacity / mean, *SHORT_TOKENS)
            await self.run_block(
                "all over", "length_aware", (all_accounts,), number, OVERLOAD_TIMEOUT_S
            )
        histograms = {}
        for name in ("usual", "tenfold"):
            block = self.blocks[name]
            histograms[name] = block.first_token_times(
                a for a in block.answers if a.arrival.account != names[0]
            )
            print(describe(f"{name}, other accounts", histograms[name]))
        p99 = ratio(histograms["tenfold"], histograms["usual"], 99)
        print(f"one account tenfold: others' p99 {p99:.2f} times without it")
        served = dict.fromkeys(names, 0.0)
        for answer in self.blocks["all over"].answers:
            if answer.is_complete and answer.ended_s <= self.block_s:
                served[answer.arrival.account] += answer.arrival.tokens
        index = jain_index(list(served.values()))
        print(f"equal accounts at 1.5 times capacity: Jain {index:.4f}")
        self.plot(histograms)

    async def overload(self) -> None:
        """Compare short prompts at capacity and at twice the capacity."""
        names = self.preset.account_names()
        capacity = self.preset.capacity_tokens_per_s()
        served = {}
        for number in range(self.rounds):
            for load_factor in (1.0, 2.0):
                stream = Stream(names, load_factor * capacity / 2_100.0, *SHORT_TOKENS)
                await self.run_block(
                    f"{load_factor:.0f}x",
                    "length_aware",
                    (stream,),
                    number,
                    OVERLOAD_TIMEOUT_S,
                )
        for name, block in self.blocks.items():
            served[name] = sum(
                answer.arrival.tokens
                for answer in block.answers
                if answer.is_complete and answer.ended_s <= self.block_s
            )
            utilization = served[name] / (self.rounds * self.block_s * capacity)
            print(
                describe(name, block.short_prompt_times())
                + f"  served {utilization:.2f} of capacity"
            )
        print(f"served at twice over at capacity: {served['2x'] / served['1x']:.2f}")
        refused = [a for a in self.blocks["2x"].answers if not a.is_complete]
        retryable = sum(a.outcome == "not-run" and a.has_retry_after for a in refused)
        late = sum(a.took_s > OVERLOAD_TIMEOUT_S + 0.05 for a in refused)
        print(
            f"refused at twice: {len(refused)}, as not-run with Retry-After: "
            f"{retryable}, after their bound: {late}"
        )
        immediate_s = sorted(a.took_s for a in refused if a.took_s < IMMEDIATE_S)
        if immediate_s:
            p99_ms = immediate_s[int(0.99 * (len(immediate_s) - 1))] * 1000
            print(
                f"of these on arrival: {len(immediate_s)}, answered p99 {p99_ms:.1f} ms"
            )
        self.plot(
            {block.name: block.short_prompt_times() for block in self.blocks.values()}
        )

    def plot(self, histograms: dict[str, HdrHistogram]) -> None:
        """Plot the distributions of first-token times to a file."""
        OUTPUT_DIR.mkdir(exist_ok=True)
        figure, axes = subplots(figsize=(6, 4))
        points = [50, 75, 90, 95, 98, 99, 99.5]
        for name, histogram in histograms.items():
            values = [histogram.get_value_at_percentile(p) / 1000 for p in points]
            axes.plot([str(p) for p in points], values, marker="o", label=name)
        axes.set_yscale("log")
        axes.set_xlabel("percentile")
        axes.set_ylabel("time to first token, ms")
        axes.legend()
        figure.tight_layout()
        figure.savefig(OUTPUT_DIR / f"{self.experiment}-{self.site}.svg")
        close(figure)


if __name__ == "__main__":
    parse(Load)()
