"""Checks the way of new settings over many orders of faults.

Run it as ``python -m tests.news_checker.checker --seed 1 --orders 1000``. The exit
code is 0 if no order failed, 1 if one did and 2 if the arguments are wrong. ``--replay
SEED`` prints the events, the breaches and the log lines of one order. ``--faults``
tells how many orders it takes to find each fault that is put back, ``--known`` runs
only the order that is known to show it.
"""

import argparse
import os
import sys
import time

from tests.checker.checker import (
    HASH_SEED,
    MAX_ORDERS,
    MAX_SEED,
    PROGRESS_INTERVAL_S,
    Interruption,
    number_between,
)
from tests.checker.trace import no_logs, traced
from tests.news_checker.faults_put_back import FAULTS, Fault, breach_by
from tests.news_checker.order import draw_order, run_order


def check(seed: int, orders: int) -> int:
    """Run orders, print each failure and the totals; return the number of failures."""
    interruption = Interruption()
    began = printed = time.monotonic()
    failed = number = 0
    for number in range(1, orders + 1):
        order_seed = f"{seed}-{number - 1}"
        with no_logs():
            breaches = run_order(draw_order(order_seed))
        if breaches:
            failed += 1
            print(f"failed: {order_seed} {breaches[0]}", flush=True)
        if interruption.is_requested:
            print("interrupted", flush=True)
            break
        if time.monotonic() - printed >= PROGRESS_INTERVAL_S:
            printed = time.monotonic()
            _print_progress(number, failed, printed - began)
    _print_progress(number, failed, time.monotonic() - began)
    return failed


def _print_progress(orders: int, failed: int, elapsed_s: float) -> None:
    rate = orders / max(elapsed_s, 0.001)
    print(f"{orders} orders, {rate:.1f} a second, {failed} failed", flush=True)


def replay(seed: str) -> int:
    """Run the order of a seed and print it; return the number of its breaches."""
    order = draw_order(seed)
    with traced() as trace:
        breaches = run_order(order)
    for line in trace.of(set()):
        print(line)
    for event in order.events:
        print(event)
    for breach in breaches:
        print(breach)
    return len(breaches)


def find_faults(orders: int, known_only: bool) -> int:
    """Print the orders needed for each fault; return how many were not found."""
    missed = 0
    for fault in FAULTS:
        if known_only and fault.order is None:
            continue
        began = time.process_time()
        numbers = [fault.order] if known_only else range(orders)
        what = _first_breach(fault, numbers)
        seconds = time.process_time() - began
        missed += what is None
        print(f"{fault.name} | {what or 'not found'} | {seconds:.1f}", flush=True)
    return missed


def _first_breach(fault: Fault, numbers) -> str | None:
    for number in numbers:
        breach = breach_by(fault, number)
        if breach is not None:
            return f"{number + 1} | {breach}"
    return None


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the checked arguments; exit with code 2 and a line if one is wrong."""
    parser = argparse.ArgumentParser(prog="python -m tests.news_checker.checker")
    parser.add_argument(
        "--seed", type=lambda t: number_between(t, 0, MAX_SEED), default=1
    )
    parser.add_argument(
        "--orders", type=lambda t: number_between(t, 1, MAX_ORDERS), default=1000
    )
    parser.add_argument("--replay", metavar="SEED", help="such as 1-42")
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--known", action="store_true")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit code."""
    options = parse_arguments(arguments)
    if options.replay is not None:
        return int(bool(replay(options.replay)))
    if options.faults or options.known:
        return int(bool(find_faults(options.orders, options.known)))
    return int(bool(check(options.seed, options.orders)))


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # Hashes are fixed at the start of the interpreter, so it starts again.
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        command = [sys.executable, "-m", "tests.news_checker.checker", *sys.argv[1:]]
        os.execv(sys.executable, command)
    sys.exit(main(sys.argv[1:]))
