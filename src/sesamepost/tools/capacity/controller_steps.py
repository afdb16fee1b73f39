"""CPU time of the steps of the controller."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from sesamepost.internal.balance.reports import LoadReport
from sesamepost.internal.clock import boottime
from sesamepost.internal.lease.messages import Suspect
from sesamepost.internal.store.envelope import Envelope, encode_envelope
from sesamepost.internal.store.interface import StoredValue
from sesamepost.tools.capacity.design_size import SERVICES, node_id, service_names
from sesamepost.tools.capacity.fit import RUNS, Point, Series, cpu_series
from sesamepost.tools.capacity.messages import FLEET_SIZES, load_report
from sesamepost.tools.capacity.node import (
    IdleDaemon,
    MemoryStore,
    idle_daemon,
    load_documents,
    make_controller,
)

ROUNDS = 5


async def measure_async(call: Callable[[], Awaitable], rounds: int = ROUNDS):
    """Return the CPU time of one call in microseconds and the spread of the runs."""
    await call()
    times = []
    for _ in range(RUNS):
        started = time.thread_time()
        for _ in range(rounds):
            await call()
        times.append((time.thread_time() - started) / rounds)
    return min(times) * 1e6, max(times) / max(min(times), 1e-9)


async def async_series(
    name: str, size_name: str, calls: dict[float, Callable[[], Awaitable]]
) -> Series:
    """Return the CPU time of one awaited call at each size."""
    points = []
    for size, call in calls.items():
        cost, spread = await measure_async(call)
        points.append(Point(size, cost, spread))
        await asyncio.sleep(0)
    return Series(name, "us", size_name, tuple(points))


def report_of_node(number: int, service: str) -> LoadReport:
    """Return the report of a node with one endpoint of ``service``."""
    report = load_report(1, 35)
    fields = (service, *report.services[0][1:])
    return LoadReport(node_id(number), (fields,), (), report.versions)


async def controller_daemon(
    stack: AsyncExitStack, nodes: int, services: int
) -> IdleDaemon:
    """Return a controller that has received two load reports from every node."""
    daemon = await stack.enter_async_context(idle_daemon())
    load_documents(daemon, nodes, services)
    store = MemoryStore()
    for name, document in daemon.replica.documents.items():
        value = encode_envelope(Envelope("capacity", (), document.body))
        store.values[name] = StoredValue(value, document.version)
    make_controller(daemon, store)
    names = service_names(services)
    owners = max(1, nodes // services)
    for _ in range(2):
        for number in range(nodes):
            service = names[number // owners % services]
            daemon.controller.receive(report_of_node(number, service))
    for report in daemon.controller.loads.reports.values():
        report.first_received = boottime() - 1000
    return daemon


def idle_round(daemon: IdleDaemon) -> Callable[[], Awaitable]:
    """Return a call that runs a decision round in which no plan is due."""

    async def decide():
        planned_at = boottime() + 1000
        for service in daemon.views.services:
            daemon.controller.planned_at[service] = planned_at
        await daemon.controller._decide()

    return decide


def plan_once(daemon: IdleDaemon) -> Callable[[], object]:
    """Return a call that plans one service without writing the result."""

    def plan():
        controller = daemon.controller
        controller.planned_at.clear()
        return controller._plan(daemon.views.assignments["service-00"], boottime())

    return plan


def fence_once(daemon: IdleDaemon, nodes: int) -> Callable[[], Awaitable]:
    """Return a call that fences one node: suspicions, promises and the fleet write."""
    numbers = iter(range(1, nodes))

    async def fence():
        controller = daemon.controller
        await asyncio.sleep(0)
        node = node_id(next(numbers))
        for service in daemon.views.services:
            controller.planned_at[service] = boottime() + 1000
        fencing = controller.fencing
        record = daemon.views.fleet.get(node)
        for witness in record.witnesses:
            fencing.receive_suspect(Suspect(node, witness), boottime())
        controller._request_promises(boottime())
        fencing._rounds[node].promised.update(record.witnesses)
        await controller._write_fleet(boottime())
        assert daemon.views.fleet.live(node) is None

    return fence


async def controller_steps() -> list[Series]:
    """Return the CPU time of the controller by nodes and by services."""
    async with AsyncExitStack() as stack:
        by_nodes = {n: await controller_daemon(stack, n, SERVICES) for n in FLEET_SIZES}
        by_services = {n: await controller_daemon(stack, 480, n) for n in (6, 12, 24)}

        def sync(name, size_name, daemons, make):
            return cpu_series(
                name, size_name, {n: make(item) for n, item in daemons.items()}
            )

        def receive(daemon):
            item = report_of_node(
                7, daemon.controller.loads.reports[node_id(7)].load.services[0].service
            )
            return lambda: daemon.controller.receive(item)

        return [
            sync("load report received", "nodes", by_nodes, receive),
            await async_series(
                "round of decisions, nothing to do, 24 services",
                "nodes",
                {n: idle_round(item) for n, item in by_nodes.items()},
            ),
            await async_series(
                "round of decisions, nothing to do, 480 nodes",
                "services",
                {n: idle_round(item) for n, item in by_services.items()},
            ),
            sync("planning round of one service (4,096)", "nodes", by_nodes, plan_once),
            sync(
                "planning round of one service (4,096), 480 nodes",
                "services",
                by_services,
                plan_once,
            ),
            await async_series(
                "fencing of one node",
                "nodes",
                {n: fence_once(item, n) for n, item in by_nodes.items()},
            ),
        ]
