"""Bytes and CPU time of each control message, measured with the actual encoding."""

import random
from dataclasses import replace
from functools import cache

from sesamepost.internal.balance.reports import (
    BUSIEST_ITEMS,
    LoadReport,
    NodeLoad,
    ServiceLoad,
    build_report,
    read_report,
    report_interval_s,
)
from sesamepost.internal.documents.delta import delta_push, full_push
from sesamepost.internal.documents.messages import Versions
from sesamepost.internal.lease.messages import Renew, Renewed
from sesamepost.internal.lease.timing import RENEW_INTERVAL_S
from sesamepost.internal.membership.messages import ChangeWitnesses, Join
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.wire.frames import encode_frames
from sesamepost.internal.wire.messages import decode, encode
from sesamepost.tools.capacity.design_size import (
    NODES,
    SEED,
    SERVICES,
    TYPICAL_VERSION,
    build_assignment,
    build_branch,
    build_documents,
    build_fleet,
    node_id,
    service_names,
)
from sesamepost.tools.capacity.fit import Series, byte_series, cpu_series

FLEET_SIZES = (30, 120, 480)
PARTITION_SIZES = (256, 1024, 4096)
HOT_KEY_SIZES = (0, 16, 64)
BRANCH_SIZES = (1024, 4096, 16384)
SERVICE_SIZES = (1, 6, 24)

# Each node has three witnesses, so on average each node is a witness of three others.
WITNESSES = 3
DIGEST = bytes(range(8))


def encoded_bytes(item: object) -> int:
    """Return the size of a message on a stream, including the headers of its frames."""
    return sum(len(data) for data in encode_frames(encode(item), 0))


def renewal() -> Renew:
    """Return a renewal with the values of a node that has run for months."""
    return Renew(node_id(0), node_id(1), TYPICAL_VERSION, DIGEST)


def renewal_answer() -> Renewed:
    """Return the answer to ``renewal``."""
    return Renewed(node_id(0), node_id(1), TYPICAL_VERSION, DIGEST)


def join_request() -> Join:
    """Return the message that adds a node to the fleet."""
    witnesses = (node_id(1), node_id(2), node_id(3))
    return Join(
        node_id(0),
        "10.20.0.1",
        7001,
        "domain-0",
        "region-a",
        witnesses,
        TYPICAL_VERSION,
    )


@cache
def versions(documents: int) -> dict[str, int]:
    """Return the versions of this number of documents by name.

    Three documents exist once, the others per team or per service.
    """
    names = list(build_documents(6, SERVICES, 0))
    names += [f"assignment/service-{number}" for number in range(len(names), documents)]
    return dict.fromkeys(names[:documents], TYPICAL_VERSION)


def load_report(endpoints: int, documents: int) -> LoadReport:
    """Return a report with the maximum numbers of partitions and hot keys."""
    rng = random.Random(SEED)
    services = tuple(
        ServiceLoad(
            name,
            3550.0,
            tuple((rng.randrange(4096), 99.9) for _ in range(BUSIEST_ITEMS)),
            tuple((rng.getrandbits(64), 99.9) for _ in range(BUSIEST_ITEMS)),
            12,
            6,
            0.05,
        )
        for name in service_names(endpoints)
    )
    return build_report(NodeLoad(node_id(0), services, (), versions(documents)))


def move_one_partition(assignment: Assignment) -> bytes:
    """Return the body of the next version, in which one partition has moved."""
    changed = assignment.copy()
    target = assignment.nodes[-1]
    changed.set_partition_owner(0, target, assignment.version + 1, True)
    return changed.encode()


def pushes_after_move(partitions: int, owners: int = 20):
    """Return the pushes of a move, as a delta and as the whole document."""
    assignment = build_assignment(partitions, owners)
    before, after = assignment.encode(), move_one_partition(assignment)
    name, version = "assignment/service-00", assignment.version + 1
    return (
        delta_push(name, version, after, version - 1, before),
        full_push(name, version, after),
    )


def pushes_after_fencing(nodes: int):
    """Return the pushes of a fenced node, as a delta and as the whole document."""
    fleet = build_fleet(nodes)
    before = fleet.encode()
    after = fleet.fence(node_id(nodes // 2), 1_700_000_000).encode()
    version = fleet.version + 1
    return delta_push("fleet", version, after, version - 1, before), full_push(
        "fleet", version, after
    )


def pushes_after_settings_change(size: int):
    """Return the pushes of a changed number, as a delta and as the whole document."""
    before = build_branch(service_names(3), size).encode()
    after = before.replace(b"slots = 6", b"slots = 8", 1)
    version = TYPICAL_VERSION + 1
    return delta_push(
        "settings/team-0", version, after, version - 1, before
    ), full_push("settings/team-0", version, after)


def push_after_settings_insertion(size: int):
    """Return the push of an insertion near the start, which shifts all blocks."""
    before = build_branch(service_names(3), size).encode()
    after = before.replace(b"slots = 6", b"slots = 12", 1)
    version = TYPICAL_VERSION + 1
    return delta_push("settings/team-0", version, after, version - 1, before)


def message_bytes() -> list[Series]:
    """Return the encoded size of every control message."""

    def series(name, size_name, sizes, build):
        counts = {size: float(encoded_bytes(build(size))) for size in sizes}
        return byte_series(name, size_name, counts)

    def fixed(name, item):
        return series(name, "nodes", FLEET_SIZES, lambda _: item)

    change = ChangeWitnesses(node_id(0), (node_id(1), node_id(2), node_id(3)), 9)
    return [
        fixed("Renew", renewal()),
        fixed("Renewed", renewal_answer()),
        fixed("Join", join_request()),
        fixed("ChangeWitnesses", change),
        series(
            "LoadReport, 35 documents",
            "endpoints of the node",
            SERVICE_SIZES,
            lambda n: load_report(n, 35),
        ),
        series(
            "LoadReport, 1 endpoint",
            "documents",
            (5, 15, 35),
            lambda n: load_report(1, n),
        ),
        series(
            "Versions",
            "documents",
            (5, 15, 35),
            lambda n: Versions(tuple(versions(n).items()), True),
        ),
        series(
            "Push: one partition moves, delta",
            "partitions",
            PARTITION_SIZES,
            lambda n: pushes_after_move(n)[0],
        ),
        series(
            "Push: assignment, whole",
            "partitions",
            PARTITION_SIZES,
            lambda n: pushes_after_move(n)[1],
        ),
        series(
            "Push: one node is fenced, delta",
            "nodes",
            FLEET_SIZES,
            lambda n: pushes_after_fencing(n)[0],
        ),
        series(
            "Push: fleet, whole",
            "nodes",
            FLEET_SIZES,
            lambda n: pushes_after_fencing(n)[1],
        ),
        series(
            "Push: settings, same length, delta",
            "bytes of the branch",
            BRANCH_SIZES,
            lambda n: pushes_after_settings_change(n)[0],
        ),
        series(
            "Push: settings, longer by a byte",
            "bytes of the branch",
            BRANCH_SIZES,
            push_after_settings_insertion,
        ),
    ]


def document_bytes() -> list[Series]:
    """Return the sizes of documents."""
    return [
        byte_series(
            "fleet",
            "nodes",
            {n: len(build_fleet(n).encode()) for n in FLEET_SIZES},
        ),
        byte_series(
            "assignment, 20 owners",
            "partitions",
            {n: len(build_assignment(n, 20).encode()) for n in PARTITION_SIZES},
        ),
        byte_series(
            "assignment, 4,096 partitions",
            "owners",
            {n: len(build_assignment(4096, n).encode()) for n in FLEET_SIZES},
        ),
        byte_series(
            "assignment, 4,096 partitions, 20 owners",
            "hot keys",
            {n: len(build_assignment(4096, 20, n).encode()) for n in HOT_KEY_SIZES},
        ),
    ]


def message_cpu() -> list[Series]:
    """Return the CPU time to encode and to decode messages."""

    def codec(name, size_name, items):
        data = {size: encode(item) for size, item in items.items()}
        return [
            cpu_series(
                f"encode {name}",
                size_name,
                {size: lambda item=item: encode(item) for size, item in items.items()},
            ),
            cpu_series(
                f"decode {name}",
                size_name,
                {size: lambda part=part: decode(part) for size, part in data.items()},
            ),
        ]

    reports = {n: load_report(n, 35) for n in SERVICE_SIZES}
    lists = {n: Versions(tuple(versions(n).items()), True) for n in (5, 15, 35)}
    full_pushes = {n: pushes_after_move(n)[1] for n in PARTITION_SIZES}
    renewals = {n: replace(renewal(), sequence=n) for n in FLEET_SIZES}
    return [
        *codec("Renew", "nodes", renewals),
        *codec("LoadReport", "endpoints of the node", reports),
        cpu_series(
            "read_report",
            "endpoints of the node",
            {n: lambda item=item: read_report(item) for n, item in reports.items()},
        ),
        *codec("Versions", "documents", lists),
        *codec("Push of a whole assignment", "partitions", full_pushes),
    ]


def renewal_bytes_per_s() -> float:
    """Return the bytes per second that a node sends for leases.

    A node renews its lease at its witnesses and on average answers the same number of
    holders. It receives the same amount.
    """
    exchange_bytes = encoded_bytes(renewal()) + encoded_bytes(renewal_answer())
    return WITNESSES * exchange_bytes / RENEW_INTERVAL_S


def report_bytes_per_s(endpoints: int = 1, documents: int = 35) -> float:
    """Return the bytes per second that a node sends for reports at the design size."""
    size = encoded_bytes(load_report(endpoints, documents))
    return size / report_interval_s(NODES)


def controller_report_bytes_per_s(endpoints: int = 1, documents: int = 35) -> float:
    """Return the bytes per second of reports that the controller receives."""
    return (NODES - 1) * report_bytes_per_s(endpoints, documents)


def max_holders_per_witness(nodes: int = NODES) -> int:
    """Return the largest number of nodes that have the same witness."""
    counts: dict = {}
    for record in build_fleet(nodes):
        for witness in record.witnesses:
            counts[witness] = counts.get(witness, 0) + 1
    return max(counts.values())
