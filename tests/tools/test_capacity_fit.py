"""Guard against wrong slopes, on which all figures of ``CAPACITY.md`` depend."""

import time

import pytest

from sesamepost.tools.capacity.fit import (
    Point,
    Series,
    byte_series,
    fit_line,
    measure_cpu,
)


def test_fit_of_an_exact_line_returns_base_and_slope():
    line = fit_line([30, 120, 480], [7 + 0.5 * n for n in (30, 120, 480)])

    assert line.base == pytest.approx(7)
    assert line.slope == pytest.approx(0.5)
    assert line.r_squared == pytest.approx(1)
    assert line.at(1000) == pytest.approx(507)


def test_fit_of_noisy_costs_is_the_least_squares_line():
    # By hand: means 2 and 13/3, slope 5/2, base -2/3; the sum of squared residuals is
    # 1/6, the total sum of squares 38/3.
    line = fit_line([1, 2, 3], [2, 4, 7])

    assert line.slope == pytest.approx(2.5)
    assert line.base == pytest.approx(-2 / 3)
    assert line.r_squared == pytest.approx(1 - (1 / 6) / (38 / 3))


def test_fit_of_a_constant_cost_has_no_slope():
    line = fit_line([1, 2, 4], [5, 5, 5])

    assert (line.base, line.slope, line.r_squared) == (5, 0, 1)


def test_a_quadratic_cost_lowers_the_quality_of_the_fit():
    line = fit_line([30, 120, 480], [n * n for n in (30, 120, 480)])

    assert line.r_squared < 0.99


@pytest.mark.parametrize("sizes", [[1, 2], [1, 1, 1], [1, 2, 2]])
def test_fewer_than_three_sizes_are_rejected(sizes):
    with pytest.raises(ValueError, match="at least 3 different sizes are needed"):
        fit_line(sizes, sizes)


def test_sizes_and_costs_must_match():
    with pytest.raises(ValueError, match="3 sizes but 2 costs"):
        fit_line([1, 2, 3], [1, 2])


def test_a_row_shows_points_line_and_largest_spread():
    points = (Point(1, 3, 1.5), Point(2, 5, 1.1), Point(3, 7))

    row = Series("push", "us", "nodes", points).format_row()

    assert row == "| push | us | nodes | 1: 3, 2: 5, 3: 7 | 1 | 2 | 1.000 | 1.50 |"


def test_byte_series_keeps_the_order_of_sizes():
    series = byte_series("push", "nodes", {4: 8, 1: 2, 2: 4})

    assert [point.size for point in series.points] == [4, 1, 2]
    assert series.line.slope == pytest.approx(2)


def test_measured_cpu_time_excludes_waiting():
    # A wall clock instead of a CPU clock would show at least 2,000 us.
    microseconds, spread = measure_cpu(lambda: time.sleep(0.002), min_run_s=0.0002)

    assert 0 < microseconds < 1500
    assert spread >= 1
