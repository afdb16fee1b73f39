"""One order of events: runs it, checks it and shortens it if it fails."""

import asyncio
import gc
import itertools
import random
from dataclasses import dataclass
from random import Random

from sesamepost.internal.coordination.store import StoreError
from tests.checker.disturbing import Disturber, end_of
from tests.checker.drawing import EventDraw
from tests.checker.events import Event
from tests.checker.fleet import Fleet
from tests.checker.invariants import Breach
from tests.checker.loop import StuckError, virtual_loop

ORDER_S = 20.0
# The bound of the platform from the last fault until keys are served, recoveryS.
RECOVERY_S = 15.0
# Nothing happens in the last seconds, so nothing is written either.
QUIET_S = 4.0
# The renewals of a lease and the watch of each node, with a reserve.
MAX_QUIET_CALLS = 6.0


@dataclass(frozen=True, slots=True)
class Order:
    """What is run; the same order gives the same run."""

    seed: str
    nodes: int
    by_heartbeat: bool
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    """What an order has shown; times are in virtual seconds."""

    breaches: tuple[Breach, ...]
    duration_s: float
    grants: int
    excused_grants: int
    requests: int
    store_calls: int
    errors: tuple[str, ...]

    @property
    def has_failed(self) -> bool:
        """Whether a rule was broken."""
        return bool(self.breaches)


def draw_order(
    seed: str, nodes: int, by_heartbeat: bool, with_restores: bool = False
) -> Order:
    """Return the order of a seed; ``with_restores``, the store comes back older."""
    events = EventDraw(Random(f"{seed} events"), nodes).events()
    if with_restores:
        restores = EventDraw(Random(f"{seed} restores"), nodes).restores()
        # Half of the orders have no other faults.
        is_alone = Random(f"{seed} alone").random() < 0.5
        events = restores if is_alone else _merged(events, restores)
    return Order(seed, nodes, by_heartbeat, events)


def _merged(*parts: tuple[Event, ...]) -> tuple[Event, ...]:
    return tuple(sorted(itertools.chain(*parts), key=lambda event: event.at))


def run_order(order: Order) -> Outcome:
    """Run an order until it has failed, or until its end."""
    # A collection may end coroutines at any time, and takes a fifth of the time.
    gc.disable()
    try:
        return _run_order(order)
    finally:
        gc.enable()


def _run_order(order: Order) -> Outcome:
    # The product spreads calls of many nodes by chance.
    random.seed(f"{order.seed} product")
    with virtual_loop() as loop:
        fleet = Fleet(loop, order.seed, order.nodes, order.by_heartbeat)
        disturber = Disturber(fleet)
        fleet.start()
        for event in order.events:
            disturber.schedule(event)
        last_fault = max((end_of(event) for event in order.events), default=0.0)
        try:
            loop.run_until_complete(_watch(fleet, last_fault))
        except StuckError as error:
            breach = Breach(loop.now, "stuck", str(error))
            fleet.observer.breaches.append(breach)
        observer = fleet.observer
        if loop.busy_s:
            detail = f"callbacks ran for {loop.busy_s:.2f} s without waiting"
            observer.breaches.append(Breach(loop.now, "busy", detail))
        return Outcome(
            tuple(observer.breaches),
            loop.now,
            observer.grants,
            observer.excused_grants,
            observer.requests,
            sum(fleet.store.calls.values()),
            tuple(_describe(context) for context in loop.errors),
        )


async def _watch(fleet: Fleet, last_fault: float) -> None:
    """Return once a rule is broken, or at the end of the order."""
    observer, loop = fleet.observer, fleet.loop
    end = ORDER_S
    quiet_from, calls, fence = 0.0, 0, 0
    while not observer.breaches and loop.now < end:
        await asyncio.sleep(0.5)
        if loop.now >= end - QUIET_S and not quiet_from:
            quiet_from = loop.now
            calls = sum(fleet.store.calls.values())
            fence = _table_fence(fleet)
    if observer.breaches or not _is_any_worker_up(fleet):
        return
    while (reason := fleet.unserved()) and loop.now < last_fault + RECOVERY_S:
        quiet_from = 0.0
        await asyncio.sleep(0.5)
    if reason:
        observer.breaches.append(Breach(loop.now, "recovery", reason))
    elif quiet_from and last_fault + RECOVERY_S <= quiet_from:
        _check_quiet(fleet, quiet_from, calls, fence)


def _check_quiet(fleet: Fleet, since: float, calls: int, fence: int) -> None:
    """Check that a fleet to which nothing happens writes and calls little."""
    breaches, now = fleet.observer.breaches, fleet.loop.now
    risen = _table_fence(fleet) - fence
    if risen:
        breaches.append(Breach(now, "fences", f"they rose by {risen} without a cause"))
    rate = (sum(fleet.store.calls.values()) - calls) / (now - since)
    if rate > MAX_QUIET_CALLS * len(fleet.machines):
        breaches.append(Breach(now, "calls", f"{rate:.1f} calls a second"))


def _table_fence(fleet: Fleet) -> int:
    table = fleet.table()
    return 0 if table is None else table.fence


def _is_any_worker_up(fleet: Fleet) -> bool:
    return any(m.worker is not None and m.worker.is_up for m in fleet.machines)


def _describe(context: dict) -> str:
    error = context.get("exception")
    if isinstance(error, StoreError):
        return ""
    return f"{context.get('message')}: {error!r}"


def shorten(order: Order) -> Order:
    """Drop events one by one while the order still fails with the same rule."""
    rules = {breach.rule for breach in run_order(order).breaches}
    events = list(order.events)
    for event in order.events:
        fewer = [e for e in events if e is not event]
        candidate = Order(order.seed, order.nodes, order.by_heartbeat, tuple(fewer))
        if rules & {breach.rule for breach in run_order(candidate).breaches}:
            events = fewer
    return Order(order.seed, order.nodes, order.by_heartbeat, tuple(events))
