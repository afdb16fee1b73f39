"""A short run of the checker of new settings, and its command line."""

import subprocess
import sys

import pytest

ORDERS = 250
MIN_KNOWN = 4


def run_checker(*arguments: str) -> tuple[int, str, str]:
    command = [sys.executable, "-m", "tests.news_checker.checker", *arguments]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=240, check=False
    )
    return result.returncode, result.stdout, result.stderr


def test_settings_arrive_in_time_and_never_go_back_in_any_order():
    """A route that was confirmed 3 s ago could be refused (CONFIG, twice)."""
    code, output, errors = run_checker("--orders", str(ORDERS))
    assert code == 0, output + errors
    assert output.splitlines()[-1].startswith(f"{ORDERS} orders, ")


def test_faults_that_are_put_back_are_found():
    """The checker could be blind to a fault that callers have seen before."""
    code, output, errors = run_checker("--known")
    assert code == 0, output + errors
    assert len(output.splitlines()) >= MIN_KNOWN


def test_an_order_gives_the_same_run_each_time():
    """A failing order could not be replayed."""
    first, second = (run_checker("--replay", "1-65")[1] for _ in range(2))
    assert first == second
    assert "gossip_learned" in first


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["--seed", "x"], "'x' is not a number"),
        (["--orders", "0"], "0 is not from 1"),
        (["orders"], "unrecognized arguments: orders"),
    ],
)
def test_wrong_arguments_end_with_code_2_and_a_reason(arguments, reason):
    """A mistyped option could run another check than the one meant."""
    code, output, errors = run_checker(*arguments)
    assert code == 2
    assert reason in errors
    assert not output
