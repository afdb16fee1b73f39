"""Requests and checks at an endpoint whose service says what it tolerates when cold."""

import asyncio
from types import SimpleNamespace

import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.endpoint_connection import EndpointResponse
from sesamepost.internal.forwarding.messages import NO_KEY, Forward
from sesamepost.internal.forwarding.routes import Service
from sesamepost.platform.names import HEADERS
from tests.waiting import until

RATE = 6.5
SERVICES = {"s": Service("s", False, 100, "/health", False, 3.0, RATE)}


class FakePool:
    """Answers at once, and tells on the health path what ``cold_ms`` says."""

    def __init__(self) -> None:
        self.address = SimpleNamespace(host="127.0.0.1", port=1)
        self.cold_ms = "0"
        self.health_status = 200
        self.status = 200
        self.load = "1,0,4,100"
        self.checks = 0
        self.requests = 0

    def close_idle(self) -> None:
        pass

    async def send(self, method, target, headers, body, request_id):
        await asyncio.sleep(0.001)
        if target == "/health":
            self.checks += 1
            cold_ms = self.cold_ms.encode()
            lines = [(b"instance-id", b"i"), (b"cold-milliseconds", cold_ms)]
            return EndpointResponse(self.health_status, lines, b"")
        self.requests += 1
        lines = [(b"server-load", self.load.encode())]
        return EndpointResponse(self.status, lines, b"")


@pytest.fixture
async def local():
    async with LocalEndpoint(FakePool(), HEADERS) as endpoint:
        endpoint.set_services(SERVICES)
        yield endpoint


def info(born: int = 1) -> EndpointInfo:
    return EndpointInfo("s", "i", born, 4, "v", True)


def forward() -> Forward:
    return Forward(0, "id", "r", "s", NO_KEY, "GET", "/", (), b"", 2000, 1000, 1, 0)


async def send(local: LocalEndpoint, count: int) -> list:
    tasks = [local.run(forward()) for _ in range(count)]
    return await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_new_process_sends_nothing_before_a_check_shows_a_warm_endpoint(local):
    # Guards against a second load on a cold endpoint after a restart of its node.
    local.pool.cold_ms = "3000"
    local.set_info(info())
    replies = await send(local, 10)
    assert all(isinstance(reply, RouterError) for reply in replies)
    assert local.pool.requests == 0
    assert local.hint().cold_ms > 2000
    assert local.hint().cold_per_min == 390


async def test_a_warm_endpoint_gets_all_requests_and_few_checks(local):
    local.set_info(info())
    await until(lambda: local.pool.checks)
    for _ in range(20):
        assert not [r for r in await send(local, 4) if isinstance(r, RouterError)]
    assert local.pool.requests == 80
    assert local.pool.checks <= 12
    assert local.hint().cold_ms == 0


async def test_a_new_incarnation_is_cold_until_its_heartbeat_says_otherwise(local):
    local.pool.health_status = 503
    local.pool.cold_ms = ""
    local.cold.started_at -= 10
    local.set_info(info())
    replies = await send(local, 10)
    refused = [reply.kind for reply in replies if isinstance(reply, RouterError)]
    assert len(refused) >= 7
    assert set(refused) == {ErrorKind.OVERLOADED}
    local.note_cold(("i", 1), 0.0)
    assert not isinstance((await send(local, 1))[0], RouterError)
    # The heartbeat of another incarnation changes nothing.
    local.note_cold(("i", 2), 3.0)
    assert local.hint().cold_ms == 0


@pytest.mark.parametrize("value", ["-5", "soon", "9" * 30])
async def test_an_invalid_cold_time_proves_nothing(local, value):
    local.pool.cold_ms = value
    local.set_info(info())
    await until(lambda: local.cold_checker.counters["checks_invalid"])
    assert local.hint().cold_ms > 0


async def test_invalid_and_enormous_loads_do_not_stop_requests(local):
    local.set_info(info())
    await until(lambda: local.pool.checks)
    for load in ("", "x", "-1,-1,-1,-1", "1,0,0,99999", "9" * 5000):
        local.pool.load = load
        assert not [r for r in await send(local, 4) if isinstance(r, RouterError)]


async def test_an_endpoint_that_fails_fast_does_not_look_fast(local):
    local.set_info(info())
    await until(lambda: local.pool.checks)
    local.pool.status = 500
    await send(local, 4)
    hint = local.hint()
    assert local.gate.speed.usual_s == {}
    assert hint.failed_percent > 10


async def test_nothing_is_sent_before_the_settings_are_known():
    # What a cold endpoint tolerates stands in the settings.
    async with LocalEndpoint(FakePool(), HEADERS) as local:
        local.set_info(info())
        (reply,) = await send(local, 1)
        assert reply.kind is ErrorKind.NO_ENDPOINT
