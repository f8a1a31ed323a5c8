"""Straight-line fits for cost measurements."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Point:
    """One measurement: a size and its cost."""

    size: float
    cost: float


@dataclass(frozen=True)
class Line:
    """A fitted line: cost = base + slope * size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the cost of a size on the line."""
        return self.base + self.slope * size


def fit_line(points: Sequence[Point]) -> Line:
    """Return the least-squares line through two or more points."""
    count = len(points)
    mean_size = sum(p.size for p in points) / count
    mean_cost = sum(p.cost for p in points) / count
    squares_sum = sum((p.size - mean_size) ** 2 for p in points)
    slope = (
        sum((p.size - mean_size) * (p.cost - mean_cost) for p in points) / squares_sum
    )
    return Line(mean_cost - slope * mean_size, slope)
