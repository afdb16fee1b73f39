"""Every path of the operators' port, served from real documents and metrics."""

import aiohttp
import pytest

from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.views import (
    ASSIGNMENT_PREFIX,
    CONTROLLER_DOCUMENT,
    FLEET_DOCUMENT,
    ControllerRecord,
    Views,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.operations.server import FleetSource, OperatorServer
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.claims import CLAIMS_DOCUMENT, encode_claims
from sesamepost.internal.telemetry.metrics import Metrics
from sesamepost.internal.wire.pool import Address
from tests.operations.metrics import read_requests

LOOPBACK = Address("127.0.0.1", 0)
NODE = NodeId("vm-1", 0xAA)
OTHER = NodeId("vm-2", 0xBB)
PEERS = Address("10.0.0.1", 7001)


class OperatorPort:
    """A client of an operators' port whose data the test sets."""

    def __init__(self, url, session, views, metrics):
        self.url = url
        self.session = session
        self.views = views
        self.metrics = metrics
        self.reason = ""
        self.versions = {"vm-1": {"documents": {"settings/lahore": 1}, "age_s": 0.5}}

    async def fleet_versions(self):
        return self.versions

    async def get(self, path, method="GET", **query):
        async with self.session.request(
            method, self.url + path, params=query
        ) as answer:
            body = await answer.text()
            is_json = answer.content_type == "application/json"
            return answer.status, await answer.json() if is_json else body


@pytest.fixture
async def port():
    views = Views(Replica())
    metrics = Metrics(lambda service: {"ledger": "lahore"}.get(service, ""))
    port = OperatorPort("", None, views, metrics)
    source = FleetSource(
        node=NODE,
        views=views,
        not_ready_reason=lambda: port.reason,
        fleet_versions=port.fleet_versions,
        services=lambda: {"ledger": ["vm-1"]},
        render_metrics=metrics.render,
        process_usage=lambda: {"pid": 7},
    )
    async with OperatorServer(source) as server, aiohttp.ClientSession() as session:
        host, number = await server.listen(LOOPBACK)
        port.url, port.session = f"http://{host}:{number}", session
        yield port
    metrics.close()


def offer_assignment(views):
    assignment = Assignment("ledger", 1)
    assignment.set_partition_owner(0, OTHER, 3, True)
    views.replica.offer(ASSIGNMENT_PREFIX + "ledger", 3, assignment.encode())


async def test_a_daemon_that_is_not_ready_is_healthy_and_says_why(port):
    # Guards against a supervisor that restarts a daemon which is only waiting.
    assert await port.get("/ready") == (200, "ready\n")
    port.reason = "the node is not in the fleet yet"
    assert await port.get("/ready") == (503, "the node is not in the fleet yet\n")
    assert await port.get("/health") == (200, "ok\n")


async def test_metrics_count_requests_by_team_service_class_and_outcome(port):
    # Guards against a histogram whose labels don't separate teams and outcomes.
    port.metrics.observe_request("ledger", "", "ran", 0.003)
    port.metrics.observe_request("ledger", "", "ran", 0.3)
    port.metrics.observe_request("ledger", "night", "unknown", 0.003)
    status, text = await port.get("/metrics")
    assert status == 200
    assert read_requests(text, "_count") == {
        ("lahore", "ledger", "default", "ran"): 2,
        ("lahore", "ledger", "night", "unknown"): 1,
    }
    assert read_requests(text, "_bucket", le="0.011") == {
        ("lahore", "ledger", "default", "ran"): 1,
        ("lahore", "ledger", "night", "unknown"): 1,
    }


async def test_status_of_a_daemon_without_documents_is_complete(port):
    # Guards against an error at startup, when operators depend on /status.
    assert await port.get("/status") == (
        200,
        {
            "node": str(NODE),
            "fleet": [],
            "controller": None,
            "documents": {},
            "rejected": {},
            "waiting": {},
            "services": {"ledger": ["vm-1"]},
            "process": {"pid": 7},
        },
    )


async def test_status_shows_the_fleet_and_every_document_with_its_state(port):
    # Guards against rejected settings that are shown as in force.
    offer = port.views.replica.offer
    fleet = Fleet().join(NodeRecord(NODE, PEERS, "a1", "a"))
    offer(FLEET_DOCUMENT, 4, fleet.encode())
    offer(CONTROLLER_DOCUMENT, 5, ControllerRecord(OTHER, PEERS).encode())
    offer(CLAIMS_DOCUMENT, 2, encode_claims({"ledger": "lahore"}))
    offer("settings/lahore", 6, b"[service:ledger]\n")
    offer("settings/lahore", 7, b"[service:ledger]\nslots = many\n")
    offer("settings/spain", 1, b"[service:ledger]\n")
    offer("settings/murcia", 8, b"[service:closings]\n")
    _, status = await port.get("/status")
    assert status["fleet"] == [
        {
            "vm": "vm-1",
            "node": str(NODE),
            "failure_domain": "a1",
            "region": "a",
            "state": "active",
            "address": "10.0.0.1:7001",
        }
    ]
    assert status["controller"] == str(OTHER)
    assert status["documents"] == {
        "fleet": 4,
        "controller": 5,
        "services": 2,
        "settings/lahore": 6,
    }
    assert status["rejected"].keys() == {"settings/lahore", "settings/spain"}
    assert status["rejected"]["settings/lahore"]["version"] == 7
    assert "slots" in status["rejected"]["settings/lahore"]["reason"]
    assert status["rejected"]["settings/spain"] == {
        "version": 1,
        "reason": "service ledger belongs to team lahore",
    }
    assert status["waiting"] == {
        "settings/murcia": {
            "version": 8,
            "reason": "no team's claim of closings is known yet",
        }
    }


async def test_fleet_answers_503_while_the_controller_is_out_of_reach(port):
    # Guards against an empty list, which `wait` would read as an empty fleet.
    assert await port.get("/fleet") == (200, {"nodes": port.versions})
    port.versions = None
    assert await port.get("/fleet") == (503, "the controller is out of reach\n")


async def test_owner_finds_the_node_of_a_key(port):
    # Guards against garbling keys in the query and a crash if there is no owner.
    offer_assignment(port.views)
    for key in ("a", "a/b c", "ü&=+%"):
        assert await port.get("/owner", service="ledger", key=key) == (
            200,
            {
                "service": "ledger",
                "key": key,
                "partition": 0,
                "owner": str(OTHER),
                "epoch": 3,
            },
        )
    unowned = Assignment("shop", 1).encode()
    port.views.replica.offer(ASSIGNMENT_PREFIX + "shop", 1, unowned)
    _, answer = await port.get("/owner", service="shop", key="a")
    assert answer["owner"] is None


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ({}, 400),
        ({"service": "ledger"}, 400),
        ({"service": "ledger", "key": ""}, 400),
        ({"key": "a"}, 400),
        ({"service": "none", "key": "a"}, 404),
    ],
)
async def test_invalid_owner_query_gets_a_specific_error(port, query, status):
    # Guards against blaming the service if the key is missing.
    offer_assignment(port.views)
    found, text = await port.get("/owner", **query)
    assert found == status
    assert ("service 'none'" if status == 404 else "service=SERVICE&key=KEY") in text


async def test_unknown_paths_and_methods_are_refused(port):
    # Guards against a probe with a mistyped path or method that succeeds.
    for path in ("/", "/healthz", "/status/", "/metrics/x"):
        assert (await port.get(path))[0] == 404
    for path in ("/health", "/ready", "/metrics", "/status", "/fleet", "/owner"):
        assert (await port.get(path, "POST"))[0] == 405
        assert (await port.get(path, "DELETE"))[0] == 405
