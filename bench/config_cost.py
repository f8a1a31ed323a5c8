"""Cost of a configuration by number of accounts and upstreams: size, time, memory."""

from dataclasses import dataclass
from hashlib import sha256
from statistics import median
from time import process_time
from tracemalloc import get_traced_memory, start, stop
from typing import Annotated

from cappa import Arg, command, parse

from bench.slopes import Line, Point, fit_line
from lagoonhinge_core.config_load import ConfigSource, decode_source, load_site

SITE = "site"
BASE_HEAD = """
zones = ["zone-0", "zone-1", "zone-2", "zone-3"]
[models.m]
[services.s]
kind = "model"
model = "m"
"""


@dataclass(frozen=True)
class ConfigCost:
    """Cost of one configuration.

    Attributes:
        blob_bytes: Size of the blob.
        load_s: Processor time to decode, merge and check it, in seconds.
        memory_bytes: Memory that the loaded configuration uses.
    """

    blob_bytes: int
    load_s: float
    memory_bytes: int


def make_source(accounts: int, upstreams: int) -> ConfigSource:
    """Return a source with the given numbers of accounts and upstreams."""
    base = [BASE_HEAD]
    for i in range(accounts):
        digest = sha256(str(i).encode()).hexdigest()
        base.append(f'[accounts.account-{i:05d}]\nkey_sha256 = "{digest}"\n')
    overlay = [
        f'[upstreams.engine-{i:04d}]\nurl = "http://10.{i // 65536}.{i // 256 % 256}.'
        f'{i % 256}:8000"\nzone = "zone-{i % 4}"\nservice = "s"\nkv_tokens = 400000\n'
        for i in range(upstreams)
    ]
    return ConfigSource("\n".join(base), {SITE: "\n".join(overlay)})


def measure(accounts: int, upstreams: int, repeats: int) -> ConfigCost:
    """Return the cost of one configuration; its time is the median of several loads."""
    blob = make_source(accounts, upstreams).encode()
    load_times_s: list[float] = []
    for _ in range(repeats):
        started_s = process_time()
        load_site(decode_source(blob), SITE).unwrap()
        load_times_s.append(process_time() - started_s)
    start()
    config = load_site(decode_source(blob), SITE).unwrap()
    memory_bytes, _ = get_traced_memory()
    stop()
    assert len(config.accounts) == accounts
    return ConfigCost(len(blob), median(load_times_s), memory_bytes)


def _lines(sizes: list[int], costs: list[ConfigCost]) -> tuple[Line, Line, Line]:
    def line(values: list[float]) -> Line:
        pairs = zip(sizes, values, strict=True)
        return fit_line([Point(size, value) for size, value in pairs])

    return (
        line([cost.blob_bytes for cost in costs]),
        line([cost.load_s for cost in costs]),
        line([cost.memory_bytes for cost in costs]),
    )


def _print_lines(label: str, sizes: list[int], costs: list[ConfigCost]) -> None:
    for size, cost in zip(sizes, costs, strict=True):
        print(
            f"{label} {size}: {cost.blob_bytes} bytes, {cost.load_s:.3f} s, "
            f"{cost.memory_bytes / 1e6:.1f} MB"
        )
    blob, load, memory = _lines(sizes, costs)
    print(
        f"for each of {label}: {blob.slope:.0f} bytes, {load.slope * 1e6:.1f} us, "
        f"{memory.slope:.0f} bytes kept"
    )


@command(name="config-cost")
@dataclass
class ConfigCostFlags:
    """Measure the cost of a configuration by its size."""

    repeats: Annotated[int, Arg(long=True, help="Loads for each size.")] = 3

    def __call__(self) -> None:
        """Run the measurement."""
        sizes = [1000, 5000, 21000]
        costs = [measure(size, 0, self.repeats) for size in sizes]
        _print_lines("accounts", sizes, costs)
        sizes = [100, 400, 1400]
        costs = [measure(10, size, self.repeats) for size in sizes]
        _print_lines("upstreams", sizes, costs)


if __name__ == "__main__":
    parse(ConfigCostFlags)()
