"""Tests of the conditions under which the owner sends a request to its endpoint."""

import asyncio
import math
from types import SimpleNamespace

import pytest

from sesamepost.errors import ErrorKind
from sesamepost.internal.admission.gate import AdmissionGate
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.dispatcher import Dispatcher
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.model import ServiceSettings
from sesamepost.internal.wire.messages import Answer, Refusal, Request

NODE = new_node_id("vm-a")
SETTINGS = ServiceSettings("s", partitions=1, slots=1)


class FakeEndpoint:
    """An endpoint with one slot that answers once ``proceed`` is set."""

    def __init__(self):
        self.gate = AdmissionGate(SETTINGS)
        self.gate.set_limits(1, 1)
        self.announcement = SimpleNamespace(fenced=True)
        self.client = SimpleNamespace(send=self.send)
        self.proceed = asyncio.Event()
        self.sent = []

    async def send(self, request, context):
        self.sent.append(request.id)
        await self.proceed.wait()
        return Answer(request.id, 200, [], b"", False)

    def is_in_service(self, now):
        return True

    def begin(self):
        return 0

    def end(self, number):
        pass

    def note_success(self):
        pass


def request(number, idempotency_key="", born=""):
    return Request(
        number, "s", "k", "POST", "/", [], b"", 2000, False, idempotency_key, born, ""
    )


def make_dispatcher(lease):
    """Return a dispatcher that owns every key, and its handlers by message type."""
    assignment = Assignment("s", 1)
    assignment.set_partition_owner(0, NODE, 1, records_kept=True)
    assignment.version = 1
    views = SimpleNamespace(assignments={"s": assignment}, services={"s": SETTINGS})
    handlers = {}
    pool = SimpleNamespace(on=handlers.__setitem__)
    dispatcher = Dispatcher(NODE, pool, views, lambda: lease[0])
    dispatcher.endpoints["s"] = FakeEndpoint()
    return dispatcher, handlers


@pytest.mark.parametrize("idempotency_key", ["", "i"])
async def test_nothing_is_sent_or_recorded_under_an_expired_lease(idempotency_key):
    # Guards against two owners of a key: once the lease has expired, the witnesses may
    # have promised never to renew it, and the key may have another owner.
    dispatcher, _ = make_dispatcher([boottime() - 0.001])
    born = dispatcher.born_token("s")
    reply = await dispatcher.handle(request(1, idempotency_key, born))
    assert reply.kind is ErrorKind.NOT_OWNER
    assert dispatcher.endpoints["s"].sent == []
    assert len(dispatcher.records) == 0


async def test_a_queued_request_is_refused_if_the_lease_ends():
    # Guards against checking the lease only before a request waits for a slot.
    lease = [math.inf]
    dispatcher, _ = make_dispatcher(lease)
    endpoint = dispatcher.endpoints["s"]
    first = asyncio.create_task(dispatcher.handle(request(1)))
    second = asyncio.create_task(dispatcher.handle(request(2)))
    await asyncio.sleep(0)
    assert (endpoint.sent, endpoint.gate.queued) == ([1], 1)
    lease[0] = -math.inf
    endpoint.proceed.set()
    assert (await first).status == 200
    assert (await second).kind is ErrorKind.NOT_OWNER
    assert endpoint.sent == [1]


async def test_requests_of_a_peer_that_does_not_read_answers_are_refused():
    # Guards against answers piling up in memory for a peer that has stopped reading.
    dispatcher, handlers = make_dispatcher([math.inf])
    sent = []
    stream = SimpleNamespace(writable=asyncio.Event(), is_open=True, send=sent.append)
    handlers[Request](stream, request(1))
    assert not dispatcher.tasks
    assert type(sent[0]) is Refusal
    assert (sent[0].id, sent[0].kind) == (1, ErrorKind.OVERLOADED)
