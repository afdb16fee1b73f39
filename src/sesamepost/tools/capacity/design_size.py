"""The design size, and documents of any size built with the production classes."""

import random
from functools import cache

from sesamepost.internal.documents.views import (
    ASSIGNMENT_PREFIX,
    CONTROLLER_DOCUMENT,
    FLEET_DOCUMENT,
    SETTINGS_PREFIX,
    ControllerRecord,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.membership.witness_choice import choose_witnesses
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.claims import CLAIMS_DOCUMENT, encode_claims
from sesamepost.internal.wire.pool import Address

NODES = 480
FAILURE_DOMAINS = 5
REGIONS = 2
SERVICES = 24
PARTITIONS = 4096
TEAMS = 8
HOT_KEYS = 11
REQUESTS_PER_S = 1_700_000
SETTINGS_CHANGES_PER_DAY = 2200
RESTARTS_PER_DAY = 73
LOSSES_PER_DAY = 2
SECONDS_PER_DAY = 86_400

MAX_CONTROL_BYTES_PER_S = 9_000
MAX_CONTROL_CORE_SHARE = 0.013
MAX_CONTROL_MEMORY_BYTES = 32 << 20
MAX_DOCUMENT_BYTES = 1_000_000

# In a fleet that has run for months, versions and sequence numbers take 4 to 5 bytes.
TYPICAL_VERSION = 1_000_000
SEED = 1


@cache
def node_id(number: int) -> NodeId:
    """Return the id of one node.

    Its incarnation takes 9 bytes, like most random ones.
    """
    rng = random.Random(number)
    return NodeId(f"vm-prod-{number:04}", (1 << 62) + rng.getrandbits(62))


def location_of(number: int) -> tuple[str, str]:
    """Return the failure domain and region of a node.

    There are 3 failure domains in region a and 2 in region b.
    """
    domain = number % FAILURE_DOMAINS
    region = "region-a" if domain < 3 else "region-b"
    return f"domain-{domain}", region


@cache
def build_fleet(nodes: int) -> Fleet:
    """Return a fleet whose nodes have the witnesses that they would choose."""
    records = []
    for number in range(nodes):
        address = Address(f"10.20.{number // 250}.{number % 250 + 1}", 7001)
        records.append(NodeRecord(node_id(number), address, *location_of(number)))
    without_witnesses = Fleet(TYPICAL_VERSION, records)
    with_witnesses = []
    for record in records:
        witnesses = choose_witnesses(
            without_witnesses, record.node, record.failure_domain, record.region
        )
        with_witnesses.append(
            NodeRecord(
                record.node,
                record.address,
                record.failure_domain,
                record.region,
                witnesses,
                3,
            )
        )
    return Fleet(TYPICAL_VERSION, with_witnesses)


def build_assignment(
    partitions: int, owners: int, hot_keys: int = 0, service: str = "service-00"
) -> Assignment:
    """Return an assignment of partitions distributed evenly over ``owners`` nodes."""
    assignment = Assignment(service, partitions)
    rng = random.Random(SEED)
    for partition in range(partitions):
        assignment.set_partition_owner(
            partition,
            node_id(partition % owners),
            TYPICAL_VERSION - rng.randrange(1000),
            True,
        )
    for number in range(hot_keys):
        key_hash = rng.getrandbits(64)
        node = node_id(number % owners)
        assignment.set_key_owner(key_hash, node, TYPICAL_VERSION, True)
    assignment.version = TYPICAL_VERSION
    return assignment


def service_names(services: int = SERVICES) -> list[str]:
    """Return the names of the services, each of which belongs to one team."""
    return [f"service-{number:02}" for number in range(services)]


def build_branch(services: list[str], size: int = 0) -> str:
    """Return a team's branch, padded to about ``size`` bytes with states of VMs."""
    lines = ["[team]", ""]
    for service in services:
        lines += [f"[service:{service}]", f"partitions = {PARTITIONS}"]
        lines += ["slots = 6", "connections = 110", ""]
    text = "\n".join(lines)
    number = 0
    while len(text) < size:
        text += f"[vm:vm-prod-{number:04}]\nstate = in_service\n\n"
        number += 1
    return text


def build_documents(
    nodes: int = NODES, services: int = SERVICES, branch_bytes: int = 4096
) -> dict[str, bytes]:
    """Return the bodies of all documents of a fleet."""
    names = service_names(services)
    teams = [f"team-{number}" for number in range(min(TEAMS, services))]
    claims = {name: teams[i % len(teams)] for i, name in enumerate(names)}
    documents = {
        CLAIMS_DOCUMENT: encode_claims(claims),
        FLEET_DOCUMENT: build_fleet(nodes).encode(),
        CONTROLLER_DOCUMENT: ControllerRecord(
            node_id(0), Address("10.20.0.1", 7001)
        ).encode(),
    }
    for team in teams:
        own = [name for name in names if claims[name] == team]
        documents[SETTINGS_PREFIX + team] = build_branch(own, branch_bytes).encode()
    owners = max(1, nodes // services)
    body = build_assignment(PARTITIONS, owners, HOT_KEYS).encode()
    for name in names:
        documents[ASSIGNMENT_PREFIX + name] = body
    return documents
