"""A short run of the checker, and its command line.

The run takes place in another process, since the order of events depends on the hash
seed of the interpreter.
"""

import os
import signal
import subprocess
import sys
import time

import pytest

RUNS = {
    "two-nodes": ("--nodes", "2", "--orders", "40"),
    "three-nodes": ("--nodes", "3", "--orders", "20"),
    "by-heartbeat": ("--nodes", "2", "--orders", "40", "--by-heartbeat"),
}
# Two workers with the same keys, in one of the forms in which the page names it.
OWNER_RULES = {"hold", "fence", "work", "request"}


def start_checker(*arguments: str) -> subprocess.Popen:
    command = [sys.executable, "-m", "tests.checker.checker", *arguments]
    return subprocess.Popen(
        command,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_checker(*arguments: str) -> tuple[int, str, str]:
    process = start_checker(*arguments)
    output, errors = process.communicate(timeout=120)
    return process.returncode, output, errors


@pytest.fixture(scope="module", params=RUNS)
def short_run(request) -> tuple[str, set[str]]:
    """Return the output of a run and the rules that it found broken."""
    code, output, errors = run_checker("--seed", "1", *RUNS[request.param])
    assert code in (0, 1), errors
    lines = [line.split() for line in output.splitlines()]
    return output, {line[2] for line in lines if line[:1] == ["failed:"]}


def test_no_two_workers_hold_a_key(short_run):
    """Callers could see two workers with the same keys (OWNER)."""
    output, rules = short_run
    assert not rules & OWNER_RULES, output


def test_keys_are_served_again_after_the_faults(short_run):
    """Keys could stay without an owner, or fences and calls rise without end."""
    output, rules = short_run
    assert not rules & {"recovery", "fences", "calls", "stuck"}, output


def test_no_process_runs_without_waiting(short_run):
    """A node whose callbacks call each other uses all of its processor."""
    output, rules = short_run
    assert "busy" not in rules, output


def test_all_orders_of_a_run_are_counted(short_run):
    """Orders that end with an error unseen would look like kept rules."""
    output, _ = short_run
    last = [line for line in output.splitlines() if " orders, " in line][-1]
    assert int(last.split()[0]) in (20, 40)
    assert "unhandled:" not in output


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["--seed", "x"], "'x' is not a number"),
        (["--seed", "-1"], "-1 is not from 0"),
        (["--orders", "0"], "0 is not from 1"),
        (["--nodes", "1"], "1 is not from 2 to 4"),
        (["--nodes", "5"], "5 is not from 2 to 4"),
        (["--replay", "1"], "'1' is not the seed of an order"),
        (["--replay", "a-1"], "'a-1' is not the seed of an order"),
        (["orders"], "unrecognized arguments: orders"),
    ],
)
def test_wrong_arguments_end_with_code_2_and_a_reason(arguments, reason):
    """A mistyped option could run another check than the one meant."""
    code, output, errors = run_checker(*arguments)
    assert code == 2
    assert reason in errors
    assert "Traceback" not in errors
    assert not output


@pytest.mark.parametrize("handler", [signal.SIG_DFL, signal.SIG_IGN])
def test_an_interrupted_run_prints_what_was_run(handler):
    """The result of a long run could be lost with Ctrl-C, also in the background.

    A shell starts background commands with the signal ignored, which they inherit.
    """
    previous = signal.signal(signal.SIGINT, handler)
    try:
        check_interrupted_run()
    finally:
        signal.signal(signal.SIGINT, previous)


def check_interrupted_run() -> None:
    process = start_checker("--orders", "100000")
    while " orders, " not in process.stdout.readline():
        assert process.poll() is None
    process.send_signal(signal.SIGINT)
    output, errors = process.communicate(timeout=60)
    assert "interrupted" in output
    assert " orders, " in output.splitlines()[-1] or "failed:" in output
    assert "Traceback" not in errors


def test_an_order_gives_the_same_run_each_time():
    """A failing order could not be replayed."""
    arguments = ("--seed", "9", "--orders", "15", "--nodes", "2")
    first, second = run_checker(*arguments)[1], run_checker(*arguments)[1]
    assert _counts(first) == _counts(second)


def _counts(output: str) -> list[str]:
    """Return the totals and the failing orders, without the rate of the run.

    The progress lines before the totals come at times of the machine's clock.
    """
    lines = output.splitlines()
    totals = [line for line in lines if " orders, " in line][-1]
    return [totals.partition("a second, ")[2], *_failing(lines)]


def _failing(lines: list[str]) -> list[str]:
    return [line for line in lines if line.startswith(("failed:", "unhandled:"))]


def test_a_replayed_order_prints_its_events():
    """A seed alone would not tell what happened in its order."""
    code, output, _ = run_checker("--nodes", "2", "--replay", "1-3")
    assert code in (0, 1)
    assert "(at=" in output


def test_the_checker_takes_little_time():
    """A slow checker would run too few orders to find rare ones."""
    began = time.monotonic()
    run_checker("--orders", "10")
    assert time.monotonic() - began < 30
