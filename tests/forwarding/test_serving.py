"""Tests of the requests that other nodes send to the local endpoint."""

import asyncio
from types import SimpleNamespace

import pytest

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.endpoint_connection import EndpointResponse
from sesamepost.internal.forwarding.messages import NO_KEY, Forward, LinkFull
from sesamepost.internal.forwarding.serving import PeerService
from sesamepost.internal.wire.link_sender import LinkSender
from sesamepost.internal.wire.messages import Answer, Refusal

BODY = bytes(90_000)


class Endpoint:
    """A local endpoint that answers each request with ``BODY``."""

    def __init__(self) -> None:
        self.gate = SimpleNamespace(
            running=[], queued=[], expected_time=lambda route: 0.1
        )
        self.requests = 0

    def hint(self) -> str:
        return "hint"

    def check_service(self, request: Forward) -> None:
        pass

    async def run(self, request: Forward) -> EndpointResponse:
        self.requests += 1
        await asyncio.sleep(0)
        return EndpointResponse(200, [], BODY)


class Stream:
    """A stream to another node that records what is sent."""

    is_open = True
    peer = SimpleNamespace(vm="10.0.0.1")

    def __init__(self, sent: list) -> None:
        self.sent = sent

    def send(self, item: object, link_class: int = 0) -> None:
        self.sent.append((item, link_class))


@pytest.mark.parametrize(("bytes_per_s", "is_full"), [(1e6, True), (125e6, False)])
async def test_a_request_without_room_on_the_link_is_refused_before_it_runs(
    bytes_per_s, is_full
):
    # Guards against a download that takes a slot although its answer would be late.
    handlers, sent = {}, []
    pool = SimpleNamespace(
        on=handlers.__setitem__, closed_listeners=[], link=LinkSender(bytes_per_s)
    )
    stream = Stream(sent)
    endpoint = Endpoint()
    service = PeerService(pool, endpoint, None)
    service.link_room.note_answer("export", len(BODY))
    pool.link.scheduler.add("other", 1, [BODY] * 20, asyncio.get_running_loop().time())
    handlers[Forward](
        stream,
        Forward(7, "r", "export", "s", NO_KEY, "GET", "/", (), b"", 1800, 1200, 2, 0),
    )
    await service.wait_until_idle()
    if is_full:
        assert endpoint.requests == 0
        wait, hint, refusal = [item for item, _ in sent]
        assert type(wait) is LinkFull
        assert wait.route == "export"
        assert wait.wait_ms > 500
        assert hint == "hint"
        assert type(refusal) is Refusal
        assert refusal.kind == ErrorKind.OVERLOADED
    else:
        assert endpoint.requests == 1
        answer, link_class = sent[-1]
        assert type(answer) is Answer
        assert link_class == 3
