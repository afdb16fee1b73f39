"""Fit a straight line to costs that were measured at several sizes."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import fmean

MIN_SIZES = 3
# The resolution of the clock would dominate a shorter run.
MIN_RUN_S = 0.02
RUNS = 5


@dataclass(frozen=True, slots=True)
class Line:
    """The line ``cost = base + slope x size``; ``r_squared`` is 1 for an exact fit."""

    base: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the cost at ``size``."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Line:
    """Return the least-squares line.

    Raises ``ValueError`` for fewer than three sizes: a line through two points always
    fits, so it does not show whether the cost is linear.
    """
    if len(sizes) != len(costs):
        raise ValueError(f"{len(sizes)} sizes but {len(costs)} costs")
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(
            f"at least {MIN_SIZES} different sizes are needed, not {len(set(sizes))}"
        )
    mean_size, mean_cost = fmean(sizes), fmean(costs)
    variance = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        / variance
    )
    base = mean_cost - slope * mean_size
    total = sum((cost - mean_cost) ** 2 for cost in costs)
    residual = sum(
        (cost - base - slope * size) ** 2
        for size, cost in zip(sizes, costs, strict=True)
    )
    return Line(base, slope, 1.0 - residual / total if total else 1.0)


@dataclass(frozen=True, slots=True)
class Point:
    """Cost at one size; ``spread`` is the ratio of the largest to the smallest run."""

    size: float
    cost: float
    spread: float = 1.0


@dataclass(frozen=True, slots=True)
class Series:
    """One cost at several sizes, in ``unit`` per call or message."""

    name: str
    unit: str
    size_name: str
    points: tuple[Point, ...]

    @property
    def line(self) -> Line:
        """Line fitted to the points."""
        return fit_line(
            [point.size for point in self.points], [point.cost for point in self.points]
        )

    @property
    def spread(self) -> float:
        """Largest spread of all points."""
        return max(point.spread for point in self.points)

    def format_row(self) -> str:
        """Format the series as a row of the table."""
        line = self.line
        points = ", ".join(f"{p.size:g}: {p.cost:.4g}" for p in self.points)
        return (
            f"| {self.name} | {self.unit} | {self.size_name} | {points} "
            f"| {line.base:.4g} | {line.slope:.4g} | {line.r_squared:.3f} "
            f"| {self.spread:.2f} |"
        )


TABLE_HEADER = (
    "| cost | unit | size | measured at size: cost | base | slope | r2 | spread |\n"
    "|---|---|---|---|---|---|---|---|"
)


def measure_cpu(
    call: Callable[[], object], min_run_s: float = MIN_RUN_S
) -> tuple[float, float]:
    """Return the CPU time of ``call`` in microseconds and the spread of the runs.

    The minimum of the runs counts, because other processes can only increase the time.
    """
    call()
    number = 1
    while _run(call, number) < min_run_s:
        number *= 2
    times = [_run(call, number) / number for _ in range(RUNS)]
    return min(times) * 1e6, max(times) / min(times)


def cpu_series(
    name: str, size_name: str, calls: dict[float, Callable[[], object]]
) -> Series:
    """Return the CPU time of one call at each size."""
    points = []
    for size, call in calls.items():
        cost, spread = measure_cpu(call)
        points.append(Point(size, cost, spread))
    return Series(name, "us", size_name, tuple(points))


def byte_series(name: str, size_name: str, counts: dict[float, float]) -> Series:
    """Return a series of the given byte counts by size."""
    points = tuple(Point(size, count) for size, count in counts.items())
    return Series(name, "bytes", size_name, points)


def _run(call: Callable[[], object], number: int) -> float:
    started = time.thread_time()
    for _ in range(number):
        call()
    return time.thread_time() - started
