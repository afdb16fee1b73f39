"""Checks ownership over many orders of events.

Run it as ``python -m tests.checker.checker --seed 1 --orders 1000 --nodes 2``. The
exit code is 0 if no order failed, 1 if one did and 2 if the arguments are wrong.
``--replay SEED`` runs the one order of a seed that a failing order has printed.
"""

import argparse
import os
import signal
import sys
import time
from dataclasses import dataclass, field

from tests.checker.events import StoreRestored
from tests.checker.fleet import vm_of
from tests.checker.invariants import Breach
from tests.checker.order import Order, Outcome, draw_order, run_order, shorten
from tests.checker.trace import no_logs, traced

MIN_NODES = 2
MAX_NODES = 4
MAX_ORDERS = 10_000_000
MAX_SEED = 2**63 - 1
PROGRESS_INTERVAL_S = 5.0
# The order of sets of strings depends on it, and with it the order of events.
HASH_SEED = "0"
# Further failing orders are counted and named, but not shortened.
MAX_SHORTENED = 2


@dataclass(slots=True)
class Tally:
    """What a run of many orders has shown."""

    orders: int = 0
    virtual_s: float = 0.0
    grants: int = 0
    excused_grants: int = 0
    requests: int = 0
    # The seeds of failing orders, with the first rule that each broke.
    failed: list[tuple[str, str]] = field(default_factory=list)
    errors: set[str] = field(default_factory=set)

    def add(self, seed: str, outcome: Outcome) -> None:
        """Count an order."""
        self.orders += 1
        self.virtual_s += outcome.duration_s
        self.grants += outcome.grants
        self.excused_grants += outcome.excused_grants
        self.requests += outcome.requests
        self.errors |= {error for error in outcome.errors if error}
        if outcome.has_failed:
            self.failed.append((seed, outcome.breaches[0].rule))


def order_seed(seed: int, number: int) -> str:
    """Return the seed of one order of a run.

    >>> order_seed(7, 0)
    '7-0'
    """
    return f"{seed}-{number}"


def report_failure(order: Order, stream=None) -> None:
    """Print a failing order as short as it gets, with the lines of both owners."""
    out = stream or sys.stdout
    shortest = shorten(order)
    with traced() as trace:
        outcome = run_order(shortest)
    print(f"order {order.seed} failed with {len(order.events)} events", file=out)
    for breach in outcome.breaches:
        print(f"  {breach}", file=out)
    print(f"  events left after shortening: {len(shortest.events)}", file=out)
    for event in shortest.events:
        print(f"    {event}", file=out)
    names = _processes_of(outcome.breaches[:1])
    print("  log lines of the owners:", file=out)
    for line in trace.of(names):
        print(f"    {line}", file=out)
    print(f"  replay: {replay_command(order)}", file=out, flush=True)


def replay_command(order: Order) -> str:
    """Return the command that runs an order again."""
    command = f"python -m tests.checker.checker --nodes {order.nodes}"
    if order.by_heartbeat:
        command += " --by-heartbeat"
    if any(isinstance(event, StoreRestored) for event in order.events):
        command += " --restores"
    return f"{command} --replay {order.seed}"


def _processes_of(breaches: tuple[Breach, ...]) -> set[str]:
    """Return the names of the nodes beside the workers of a breach; empty for all."""
    lives = {life for breach in breaches for life in breach.lives}
    # The id of a worker is "i-", the number of its machine and that of its life.
    numbers = {int(worker_id.split("-")[1]) for worker_id, _ in lives}
    return {f"node {vm_of(number - 1)}" for number in numbers}


class Interruption:
    """Notes an interrupt signal, so that the order under way can end.

    A second signal interrupts at once. The handler is also needed because a shell
    starts background commands with the signal ignored.
    """

    def __init__(self) -> None:
        self.is_requested = False
        signal.signal(signal.SIGINT, self._note_signal)

    def _note_signal(self, number, frame) -> None:
        self.is_requested = True
        signal.signal(signal.SIGINT, signal.default_int_handler)


def check(
    seed: int,
    orders: int,
    nodes: int,
    by_heartbeat: bool,
    with_restores: bool = False,
) -> Tally:
    """Run orders, print the progress and each failure, and return what was seen."""
    tally = Tally()
    interruption = Interruption()
    began = printed = time.monotonic()
    for number in range(orders):
        order = draw_order(order_seed(seed, number), nodes, by_heartbeat, with_restores)
        with no_logs():
            outcome = run_order(order)
        tally.add(order.seed, outcome)
        if outcome.has_failed and len(tally.failed) <= MAX_SHORTENED:
            with no_logs():
                report_failure(order)
        if interruption.is_requested:
            print("interrupted", flush=True)
            break
        if time.monotonic() - printed >= PROGRESS_INTERVAL_S:
            printed = time.monotonic()
            _print_progress(tally, printed - began)
    _print_progress(tally, time.monotonic() - began)
    for failed_seed, rule in tally.failed:
        print(f"failed: {failed_seed} {rule}", flush=True)
    for error in sorted(tally.errors):
        print(f"unhandled: {error}", flush=True)
    return tally


def _print_progress(tally: Tally, elapsed_s: float) -> None:
    rate = tally.orders / max(elapsed_s, 0.001)
    print(
        f"{tally.orders} orders, {rate:.1f} a second, {len(tally.failed)} failed; "
        f"{tally.virtual_s:.0f} virtual seconds, {tally.grants} grants "
        f"({tally.excused_grants} more not counted), {tally.requests} requests",
        flush=True,
    )


def replay(
    seed: str, nodes: int, by_heartbeat: bool, with_restores: bool = False
) -> bool:
    """Run the order of a seed and print it; return whether it failed."""
    order = draw_order(seed, nodes, by_heartbeat, with_restores)
    with no_logs():
        outcome = run_order(order)
        if outcome.has_failed:
            report_failure(order)
    if not outcome.has_failed:
        print(f"order {seed} kept all rules; {len(order.events)} events:")
        for event in order.events:
            print(f"    {event}")
    return outcome.has_failed


def number_between(text: str, least: int, most: int) -> int:
    """Return the number that an argument names, or raise the error of its parser."""
    try:
        number = int(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number") from None
    if not least <= number <= most:
        raise argparse.ArgumentTypeError(f"{number} is not from {least} to {most}")
    return number


def _replay_seed(text: str) -> str:
    run, dash, number = text.partition("-")
    if not dash or not run.isdigit() or not number.isdigit():
        raise argparse.ArgumentTypeError(
            f"{text!r} is not the seed of an order, such as 1-42"
        )
    return text


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the checked arguments; exit with code 2 and a line if one is wrong."""
    parser = argparse.ArgumentParser(prog="python -m tests.checker.checker")
    parser.add_argument(
        "--seed", type=lambda t: number_between(t, 0, MAX_SEED), default=1
    )
    parser.add_argument(
        "--orders", type=lambda t: number_between(t, 1, MAX_ORDERS), default=1000
    )
    parser.add_argument(
        "--nodes", type=lambda t: number_between(t, MIN_NODES, MAX_NODES), default=2
    )
    parser.add_argument("--by-heartbeat", action="store_true")
    parser.add_argument(
        "--restores", action="store_true", help="the store comes back older, too"
    )
    parser.add_argument("--replay", type=_replay_seed, metavar="SEED")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit code."""
    options = parse_arguments(arguments)
    fleet = (options.nodes, options.by_heartbeat, options.restores)
    if options.replay is not None:
        return int(replay(options.replay, *fleet))
    tally = check(options.seed, options.orders, *fleet)
    return int(bool(tally.failed))


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # Hashes are fixed at the start of the interpreter, so it starts again.
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        command = [sys.executable, "-m", "tests.checker.checker", *sys.argv[1:]]
        os.execv(sys.executable, command)
    sys.exit(main(sys.argv[1:]))
