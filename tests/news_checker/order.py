"""One order of faults and changes of the settings: draws it, runs it and checks it."""

import asyncio
import random as global_random
from dataclasses import dataclass
from random import Random

from tests.checker.loop import StuckError, virtual_loop
from tests.checker.store_client import (
    AnswersLost,
    Fault,
    Reachable,
    Refused,
    Rejecting,
    Silent,
)
from tests.news_checker.fleet import NewsFleet
from tests.news_checker.node import SETTINGS

# The users allow 3 s.
BOUND_S = 2.0
# Until the first fault.
CALM_BOUND_S = 1.0
# A node counts once it has been undisturbed for this long, contactS of the platform.
CONTACT_S = 4.0
FIRST_EVENT_S = 3.0
LAST_CHANGE_S = 12.0
ORDER_S = LAST_CHANGE_S + BOUND_S + 0.5
DOMAINS = ((6, 6, 3), (7, 2, 2), (3, 3, 3), (6, 1, 1))
STORE_FAULTS: tuple[Fault, ...] = (
    Silent(),
    Silent(),
    Rejecting(),
    Refused(),
    AnswersLost(),
    Reachable(0.3, 0.3),
)


@dataclass(frozen=True, slots=True)
class NodeFault:
    """A node is killed, frozen or cut off by ``how`` for ``duration_s``."""

    at: float
    node: int
    how: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store treats some nodes in the way of ``fault`` for ``duration_s``."""

    at: float
    nodes: tuple[int, ...]
    fault: Fault
    duration_s: float


@dataclass(frozen=True, slots=True)
class WatchFault:
    """The store cuts all watches or forgets its history."""

    at: float
    how: str


@dataclass(frozen=True, slots=True)
class Change:
    """The operator writes a version of the settings."""

    at: float
    version: int


Event = NodeFault | StoreFault | WatchFault | Change


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that a node has broken at a time of the order."""

    at: float
    rule: str
    detail: str


@dataclass(frozen=True, slots=True)
class Order:
    """What is run; the same order gives the same run."""

    seed: str
    domains: tuple[int, ...]
    events: tuple[Event, ...]


def draw_order(seed: str) -> Order:
    """Return the order of a seed.

    One node at a time is disturbed itself, and the store fails for a third of the nodes
    or for one failure domain, as the stated bound allows.
    """
    random = Random(seed)
    domains = random.choice(DOMAINS)
    events: list[Event] = []
    count = sum(domains)
    readers = [sum(domains[:i]) for i in range(len(domains))]
    if random.random() < 0.7:
        node = random.choice(readers if random.random() < 0.6 else range(count))
        how = random.choice(("kill", "freeze", "cut"))
        at = random.uniform(FIRST_EVENT_S, LAST_CHANGE_S)
        events.append(NodeFault(at, node, how, random.uniform(0.3, 6.0)))
    for _ in range(random.choice((0, 1, 1, 2))):
        events.append(_store_fault(random, domains, readers))
    if random.random() < 0.3:
        at = random.uniform(FIRST_EVENT_S, LAST_CHANGE_S)
        events.append(WatchFault(at, random.choice(("cut", "forget"))))
    at = FIRST_EVENT_S
    version = 0
    while (at := at + random.choice((0.35, 1.0, 3.0)) * (0.5 + random.random())) < (
        LAST_CHANGE_S
    ):
        version += random.randint(1, 3)
        events.append(Change(at, version))
    return Order(seed, domains, tuple(sorted(events, key=lambda event: event.at)))


def _store_fault(random: Random, domains, readers: list[int]) -> StoreFault:
    count = sum(domains)
    first = random.choice(readers)
    size = domains[readers.index(first)]
    affected = random.choice(
        [
            tuple(range(first, first + size)) if size <= count // 2 else (first,),
            tuple(sorted(random.sample(range(count), count // 3))),
            (first,),
        ]
    )
    at = random.uniform(FIRST_EVENT_S, LAST_CHANGE_S)
    return StoreFault(at, affected, random.choice(STORE_FAULTS), random.uniform(0.5, 9))


class Run:
    """Runs an order and collects the breaches of its rules."""

    def __init__(self, fleet: NewsFleet, order: Order) -> None:
        self.fleet = fleet
        self.order = order
        self.breaches: list[Breach] = []
        faults = [e.at for e in order.events if not isinstance(e, Change)]
        self.first_fault_at = min(faults, default=float("inf"))

    def schedule(self) -> None:
        """Have all events happen at their times."""
        for event in self.order.events:
            self.fleet.at(event.at, self._begin, event)

    def _begin(self, event: Event) -> None:
        fleet = self.fleet
        match event:
            case NodeFault(_, node, "kill", duration_s):
                fleet.kill_node(node, min(duration_s, 2.0))
            case NodeFault(_, node, "freeze", duration_s):
                fleet.nodes[node].process.stop(duration_s)
                fleet.note_disturbed(node, duration_s)
            case NodeFault(_, node, _, duration_s):
                link = fleet.network.link_to(fleet.entries[node].vm)
                link.cut_until = fleet.loop.now + duration_s
                fleet.note_disturbed(node, duration_s)
            case StoreFault(_, nodes, fault, duration_s):
                for node in nodes:
                    client = fleet.store.client(fleet.entries[node].vm)
                    client.fault = fault
                    fleet.at(fleet.loop.now + duration_s, self._heal, client, fault)
            case WatchFault(_, "cut"):
                fleet.store.cut_watches()
            case WatchFault():
                fleet.store.forget_history()
            case Change(at, version):
                fleet.store.put(SETTINGS, str(version).encode())
                fleet.at(at + BOUND_S, self._check, event, "late")
                if at + CALM_BOUND_S < self.first_fault_at:
                    fleet.at(at + CALM_BOUND_S, self._check, event, "slow")

    def _heal(self, client, fault: Fault) -> None:
        if client.fault is fault:
            client.fault = Reachable()

    def _check(self, change: Change, rule: str) -> None:
        """Check that each node that counts has the version, or a newer one."""
        for index, node in enumerate(self.fleet.nodes):
            disturbed_until = self.fleet.disturbed_until.get(index, float("-inf"))
            if disturbed_until + CONTACT_S > change.at:
                continue
            if not node.versions:
                # It has started without the store, knows no peer, and serves nobody.
                continue
            if node.newest < change.version:
                domain = node.entry.failure_domain
                detail = f"{node.entry.vm} of {domain} has {node.newest}, not {change}"
                self.breaches.append(Breach(self.fleet.loop.now, rule, detail))

    def check_order(self) -> None:
        """Check that no process has gone back to an older version."""
        for node in self.fleet.nodes:
            if node.versions != sorted(node.versions):
                detail = f"{node.entry.vm} had {node.versions}"
                self.breaches.append(Breach(self.fleet.loop.now, "back", detail))


def run_order(order: Order) -> list[Breach]:
    """Run an order to its end and return the broken rules."""
    # The product draws peers and jitter from the shared generator.
    global_random.seed(order.seed)
    with virtual_loop() as loop:
        fleet = NewsFleet(loop, order.seed, order.domains)
        run = Run(fleet, order)
        fleet.start()
        run.schedule()
        try:
            loop.run_until_complete(asyncio.sleep(ORDER_S))
        except StuckError as error:
            run.breaches.append(Breach(loop.now, "stuck", str(error)))
        run.check_order()
        for context in loop.errors:
            detail = f"{context.get('message')}: {context.get('exception')!r}"
            run.breaches.append(Breach(loop.now, "error", detail))
        return run.breaches
