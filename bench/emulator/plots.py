"""Plots of emulated runs."""

from pathlib import Path

from matplotlib import use

use("Agg")

from matplotlib.pyplot import close, subplots

from bench.emulator.fleet import Outcome
from bench.emulator.results import WINDOW_S, window_shares


def plot_window_shares(path: Path, runs: dict[str, list[list[Outcome]]]) -> None:
    """Plot each policy's value share over time, as the mean of its runs.

    Args:
        path: PNG file.
        runs: Outcomes of the run of each seed, by policy.
    """
    figure, axes = subplots(figsize=(8, 4))
    for name, seeds in runs.items():
        shares = [window_shares(outcomes) for outcomes in seeds]
        length = min(len(share) for share in shares)
        means = [sum(s[i] for s in shares) / len(shares) for i in range(length)]
        axes.plot([i * WINDOW_S for i in range(length)], means, label=name)
    axes.set_xlabel("time of arrival, s")
    axes.set_ylabel("value, as a share of the value in time")
    axes.set_ylim(0.0, 1.02)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    close(figure)
