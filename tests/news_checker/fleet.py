"""Nodes in failure domains, their store, and who was disturbed when."""

import itertools
from collections.abc import Callable
from contextvars import Context
from random import Random

from sesamepost.internal.coordination.nodes import NODE_PREFIX, NodeEntry
from tests.checker.loop import VirtualLoop
from tests.checker.network import Network
from tests.checker.store import Store
from tests.news_checker.node import PEER_PORT, SETTINGS, NewsNode

START_S = 0.3
BULK_INTERVAL_S = 0.1
BULK_KEY = "table"


class NewsFleet:
    """All nodes of an order. ``domains`` are the sizes of the failure domains."""

    def __init__(self, loop: VirtualLoop, seed: str, domains: tuple[int, ...]) -> None:
        self.loop = loop
        self.random = Random(f"{seed} fleet")
        self.network = Network(loop, Random(f"{seed} network"))
        self.store = Store(loop)
        self.incarnations = itertools.count(1)
        self.nodes: list[NewsNode] = []
        # When the disturbance of a node itself ends, by its index.
        self.disturbed_until: dict[int, float] = {}
        self.entries = [
            NodeEntry(vm, vm, 1, PEER_PORT, str(domain), "r", None)
            for vm, domain in _machines(domains)
        ]
        self.offsets = [100 + self.random.random() * 1000 for _ in self.entries]
        self.store.put(SETTINGS, b"0")

    @property
    def readers(self) -> list[int]:
        """The index of the first node of each failure domain."""
        domains = [entry.failure_domain for entry in self.entries]
        return [domains.index(domain) for domain in sorted(set(domains))]

    def start(self) -> None:
        """Start all processes, in any order, and the changes of other keys."""
        for index, entry in enumerate(self.entries):
            self.store.put(NODE_PREFIX + entry.vm, entry.encode())
            self.nodes.append(None)
            self.at(self.random.random() * START_S, self.start_node, index)
        self.at(1.0, self._change_bulk)

    def at(self, when: float, callback: Callable, *args) -> None:
        """Call a function at a time of the order, outside all processes."""
        self.loop.call_at(max(when, self.loop.now), callback, *args, context=Context())

    def start_node(self, index: int) -> None:
        """Start a process of a node; the one before must have ended."""
        self.nodes[index] = NewsNode(self, self.entries[index], self.offsets[index])

    def kill_node(self, index: int, down_s: float) -> None:
        """Kill a process, and start the next one later."""
        self.network.end_process(self.nodes[index].process)
        self.note_disturbed(index, down_s)
        self.at(self.loop.now + down_s, self.start_node, index)

    def note_disturbed(self, index: int, duration_s: float) -> None:
        """Record that a node itself is disturbed from now on for some time."""
        until = self.loop.now + duration_s
        self.disturbed_until[index] = max(until, self.disturbed_until.get(index, 0.0))

    def _change_bulk(self) -> None:
        self.store.put(BULK_KEY, str(self.loop.now).encode())
        interval_s = BULK_INTERVAL_S * (0.5 + self.random.random())
        self.at(self.loop.now + interval_s, self._change_bulk)


def _machines(domains: tuple[int, ...]) -> list[tuple[str, int]]:
    numbers = itertools.count(11)
    return [
        (f"10.0.0.{next(numbers)}", domain)
        for domain, size in enumerate(domains)
        for _ in range(size)
    ]
