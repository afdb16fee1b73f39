"""CPU time of the periodic steps of a node and of each new document."""

from contextlib import AsyncExitStack

from sesamepost.internal.balance.sketch import LoadCounters
from sesamepost.internal.clock import boottime
from sesamepost.internal.daemon.reporting import Reporter
from sesamepost.internal.dispatch.endpoints import Announcement, EndpointState
from sesamepost.internal.documents.delta import apply_push, delta_push
from sesamepost.internal.documents.messages import Push, Versions
from sesamepost.internal.identity import hash_key
from sesamepost.internal.lease.messages import Renew
from sesamepost.internal.membership.fleet import (
    Fleet,
    controller_candidates,
    neighbours,
)
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.branch import parse_branch
from sesamepost.tools.capacity.design_size import (
    PARTITIONS,
    build_assignment,
    build_branch,
    build_fleet,
    node_id,
    service_names,
)
from sesamepost.tools.capacity.fit import Series, cpu_series
from sesamepost.tools.capacity.messages import (
    BRANCH_SIZES,
    DIGEST,
    FLEET_SIZES,
    HOT_KEY_SIZES,
    PARTITION_SIZES,
    move_one_partition,
)
from sesamepost.tools.capacity.node import (
    CountingStream,
    IdleDaemon,
    idle_daemon,
    load_documents,
)

STEP_SERVICES = 24
NOT_DUE_FOR_S = 1000.0


def part_series() -> list[Series]:
    """Return the CPU time of the parts of the steps."""
    fleets = {n: build_fleet(n) for n in FLEET_SIZES}
    fleet_bodies = {n: fleet.encode() for n, fleet in fleets.items()}
    assignments = {n: build_assignment(n, 20) for n in PARTITION_SIZES}
    bodies = {n: item.encode() for n, item in assignments.items()}
    hot = {n: build_assignment(PARTITIONS, 20, n).encode() for n in HOT_KEY_SIZES}
    branches = {n: build_branch(service_names(3), n) for n in BRANCH_SIZES}
    moved = {n: move_one_partition(item) for n, item in assignments.items()}
    pushes = {
        n: delta_push("assignment/service-00", 2, moved[n], 1, bodies[n])
        for n in bodies
    }

    def series(name, size_name, items, call):
        calls = {n: lambda item=item, n=n: call(n, item) for n, item in items.items()}
        return cpu_series(name, size_name, calls)

    return [
        series(
            "Fleet.decode", "nodes", fleet_bodies, lambda n, body: Fleet.decode(1, body)
        ),
        series("Fleet.encode", "nodes", fleets, lambda n, fleet: fleet.encode()),
        series(
            "Fleet.fence", "nodes", fleets, lambda n, fleet: fleet.fence(node_id(5), 1)
        ),
        series(
            "controller_candidates",
            "nodes",
            fleets,
            lambda n, fleet: controller_candidates(fleet),
        ),
        series(
            "neighbours",
            "nodes",
            fleets,
            lambda n, fleet: neighbours(fleet, node_id(0)),
        ),
        series(
            "Assignment.decode",
            "partitions",
            bodies,
            lambda n, body: Assignment.decode("s", 1, body),
        ),
        series(
            "Assignment.decode, 4,096 partitions",
            "hot keys",
            hot,
            lambda n, body: Assignment.decode("s", 1, body),
        ),
        series("Assignment.encode", "partitions", assignments, lambda n, i: i.encode()),
        series(
            "delta of a move",
            "partitions",
            bodies,
            lambda n, body: delta_push("s", 2, moved[n], 1, body),
        ),
        series(
            "apply a delta",
            "partitions",
            bodies,
            lambda n, body: apply_push(pushes[n], 1, body),
        ),
        series(
            "parse_branch",
            "bytes of the branch",
            branches,
            lambda n, text: parse_branch("team-0", text),
        ),
        series(
            "LoadCounters.advance",
            "partitions counted",
            {n: build_counters(n) for n in (8, 64, 205)},
            lambda n, counters: counters.advance(counters.now + 1.0),
        ),
    ]


def build_counters(partitions: int) -> LoadCounters:
    """Return the load counters of a node that owns ``partitions`` partitions."""
    counters = LoadCounters(PARTITIONS, 0.0, seed=1)
    for number in range(partitions * 40):
        counters.record((hash_key(str(number)) & ~0xFFF) | number % partitions)
    counters.advance(1.0)
    return counters


def announce_endpoint(daemon: IdleDaemon) -> None:
    """Announce an endpoint of the first service."""
    daemon.dispatcher.announce(
        Announcement(
            "service-00",
            "http://127.0.0.1:9",
            False,
            6,
            110,
            EndpointState.READY,
            0.1,
            boottime() + NOT_DUE_FOR_S * NOT_DUE_FOR_S,
        )
    )


def offer_alternating(daemon: IdleDaemon, name: str, bodies: list[bytes]):
    """Return a call that offers the next version of a document."""

    def offer():
        version = daemon.replica.version_of(name) + 1
        daemon.replica.offer(name, version, bodies[version % 2])

    return offer


def receive_alternating(daemon: IdleDaemon, name: str, bodies: list[bytes]):
    """Return a call that receives the next version as a push from a neighbour.

    The received delta is created in advance, as the sender would create it, so its
    cost is not included. The series ``delta of a move`` shows that cost. The cost of
    the deltas for the receiver's own neighbours is included.
    """
    stream = CountingStream(node_id(1))
    deltas = [
        delta_push(name, 2, bodies[0], 1, bodies[1]),
        delta_push(name, 2, bodies[1], 1, bodies[0]),
    ]

    def receive():
        current_version = daemon.replica.version_of(name)
        push = deltas[(current_version + 1) % 2]
        base = current_version if push.base_version else 0
        item = Push(
            name, current_version + 1, base, push.size, push.checksum, push.blocks
        )
        daemon.spreader._on_push(stream, item)

    return receive


async def node_steps() -> list[Series]:
    """Return the CPU time of a node's steps and new documents by fleet size."""
    async with AsyncExitStack() as stack:
        daemons: dict[int, IdleDaemon] = {}
        for nodes in FLEET_SIZES:
            daemon = await stack.enter_async_context(idle_daemon())
            load_documents(daemon, nodes, STEP_SERVICES)
            announce_endpoint(daemon)
            daemons[nodes] = daemon
        result = [*tick_series(daemons), *document_series(daemons)]
    return result


def tick_series(daemons: dict[int, IdleDaemon]) -> list[Series]:
    """Return the CPU time of the periodic steps."""
    clock = {"now": boottime()}

    def idle_tick(daemon):
        daemon.membership.tick(boottime())

    def renewing_tick(daemon):
        clock["now"] += 0.45
        daemon.membership.tick(clock["now"])

    def report(daemon: IdleDaemon):
        reporter: Reporter = daemon.reporter
        daemon.link.send(_build_report(reporter))

    def idle_report_tick(daemon):
        daemon.reporter.next_report = boottime() + NOT_DUE_FOR_S
        daemon.reporter.tick(boottime())

    def renew(daemon):
        daemon.membership._on_renew(
            CountingStream(node_id(1)), Renew(node_id(1), node_id(0), 7, DIGEST)
        )

    def versions(daemon):
        item = Versions(tuple(daemon.replica.versions()), True)
        daemon.spreader._on_versions(CountingStream(node_id(1)), item)

    def series(name, call):
        calls = {n: lambda item=item: call(item) for n, item in daemons.items()}
        return cpu_series(name, "nodes", calls)

    return [
        series("membership tick, nothing due", idle_tick),
        series("membership tick, renewals due, none answered", renewing_tick),
        series("witness: suspects_due", lambda d: d.membership.witness.suspects_due(0)),
        series("renewal answered (digest equal or exchanged)", renew),
        series("choose_witnesses", lambda d: d.membership._choose()),
        series("reporter tick, nothing due", idle_report_tick),
        series("load report built and sent", report),
        series("endpoint judged", lambda d: _evaluate(d)),
        series("store reader: is_candidate", lambda d: d._is_candidate()),
        series("push targets", lambda d: d._push_targets()),
        series("version lists compared", versions),
    ]


def document_series(daemons: dict[int, IdleDaemon]) -> list[Series]:
    """Return the CPU time of a new version: views, handover and forwarding."""

    def series(name, prepare):
        return cpu_series(name, "nodes", {n: prepare(n, d) for n, d in daemons.items()})

    def fleet(nodes, daemon):
        current = build_fleet(nodes)
        changed = current.mark_leaving(node_id(nodes // 2))
        bodies = [current.encode(), changed.encode()]
        return receive_alternating(daemon, "fleet", bodies)

    def assignment(nodes, daemon):
        name = "assignment/service-00"
        current = build_assignment(PARTITIONS, max(1, nodes // 24), 11)
        return receive_alternating(
            daemon, name, [current.encode(), move_one_partition(current)]
        )

    def settings(nodes, daemon):
        current = daemon.replica.documents["settings/team-0"].body
        changed = current.replace(b"slots = 6", b"slots = 8", 1)
        return receive_alternating(daemon, "settings/team-0", [current, changed])

    return [
        series("new version of fleet, pushed on", fleet),
        series("new version of assignment/S (4,096), pushed on", assignment),
        series("new version of settings/T (4 KB), pushed on", settings),
    ]


def _build_report(reporter: Reporter):
    from sesamepost.internal.balance.reports import build_report

    return build_report(reporter._node_load(boottime(), reporter._versions_to_report()))


def _evaluate(daemon: IdleDaemon) -> None:
    for endpoint in daemon.dispatcher.endpoints.values():
        endpoint.evaluate(boottime())
