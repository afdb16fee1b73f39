"""The HTTP server for callers: what it refuses and what it forwards."""

import asyncio
from contextlib import asynccontextmanager, suppress

import aiohttp
import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.forwarding.calls import Call, Progress
from sesamepost.internal.forwarding.ingress import Ingress
from sesamepost.internal.forwarding.messages import NO_KEY
from sesamepost.internal.forwarding.routes import (
    Limits,
    Route,
    RoutingSettings,
    Service,
    Share,
)
from sesamepost.internal.wire.messages import Answer
from sesamepost.internal.wire.pool import Address
from tests.forwarding.test_endpoint_connection import NAMES
from tests.waiting import until

ROUTES = (
    Route("k", "h", "/k/", True, 1.5, 0.8, 2, 1, (Share("keyed", 1.0),)),
    Route("p", "h", "/p/", False, 0.0, 0.5, 2, 0, (Share("plain", 1.0),)),
)
SERVICES = {
    "keyed": Service("keyed", True, 10, "/health"),
    "plain": Service("plain", False, 10, "/health"),
}
SETTINGS = RoutingSettings(7, ROUTES, SERVICES, Limits(1000, 100))


class RecordingForwarder:
    """Records and answers every call, or raises ``error``."""

    def __init__(self) -> None:
        self.vm = "127.0.0.1"
        self.calls: list[Call] = []
        self.error: RouterError | None = None
        self.retry_after_s = 0.3

    async def run(self, call: Call, progress: Progress) -> Answer:
        self.calls.append(call)
        progress.retry_after_s = self.retry_after_s
        if self.error is not None:
            raise self.error
        return Answer(0, 201, [("X-Seal", "s")], b"body", False)


@asynccontextmanager
async def served(settings: RoutingSettings | None = SETTINGS):
    forwarder = RecordingForwarder()
    index = settings.index() if settings else None
    ingress = Ingress(
        forwarder, NAMES, lambda: index, lambda: "beside", lambda *seen: None
    )
    async with ingress, aiohttp.ClientSession() as session:
        await ingress.listen(Address("127.0.0.1", 0))
        host, port = ingress.runner.addresses[0][:2]

        async def send(path: str, method: str = "GET", body: bytes = b"", **fields):
            headers = {"Host": "h", "Id": "r-1", "Timeout": "3000"}
            headers |= {name.replace("_", "-"): text for name, text in fields.items()}
            url = f"http://{host}:{port}{path}"
            async with session.request(
                method, url, headers=headers, data=body or None
            ) as answer:
                return answer.status, answer.headers, await answer.read()

        send.ingress = ingress
        yield send, forwarder


async def test_the_answer_of_the_endpoint_is_returned_unchanged():
    async with served() as (send, forwarder):
        status, headers, body = await send("/k/x?y=1", Key="9")
        assert (status, headers["X-Seal"], body) == (201, "s", b"body")
        (call,) = forwarder.calls
        assert (call.key, call.target, call.service) == (9, "/k/x?y=1", "keyed")
        assert (call.rank, call.settings_version) == (1, 7)


async def test_callers_cannot_set_the_headers_of_the_router():
    # Guards against a request that forges its origin or chooses its endpoint.
    async with served() as (send, forwarder):
        await send("/p/x", "POST", b"b", From="forged", Only="i-1", Other="kept")
        names = [name for name, _ in forwarder.calls[0].headers]
        assert names.count("From") == 1
        assert ("From", "beside") in forwarder.calls[0].headers
        assert "Only" not in names
        assert ("Other", "kept") in forwarder.calls[0].headers
        assert forwarder.calls[0].key == NO_KEY


async def test_the_shorter_of_the_two_timeouts_applies():
    async with served() as (send, forwarder):
        await send("/k/x", Key="9")
        await send("/p/x", "POST", b"b")
        by_route, by_caller = forwarder.calls
        assert by_route.deadline - by_route.target_at == pytest.approx(0.7, abs=0.01)
        assert by_caller.deadline - by_caller.target_at == pytest.approx(2.5, abs=0.01)


@pytest.mark.parametrize(
    ("path", "fields", "body", "status"),
    [
        ("/unknown/", {}, b"", 404),
        ("/k/x", {}, b"", 400),
        ("/k/x", {"Key": "65536"}, b"", 400),
        ("/k/x", {"Key": "-1"}, b"", 400),
        ("/p/x", {"Timeout": "soon"}, b"", 400),
        ("/p/x", {}, b"x" * 101, 413),
        ("/p/x", {"Large": "x" * 1000}, b"", 431),
    ],
)
async def test_an_invalid_request_is_refused_and_not_forwarded(
    path, fields, body, status
):
    async with served() as (send, forwarder):
        assert (await send(path, "POST", body, **fields))[0] == status
        assert forwarder.calls == []


async def test_before_the_settings_are_known_callers_are_told_to_retry():
    # A 404 would mean that the path does not exist.
    async with served(None) as (send, _):
        status, headers, _ = await send("/k/x", Key="9")
        assert status == 503
        assert float(headers["Retry-After"]) > 0


async def test_a_refusal_has_retry_after_and_an_unknown_outcome_does_not():
    async with served() as (send, forwarder):
        forwarder.error = RouterError(ErrorKind.OVERLOADED)
        forwarder.retry_after_s = 2.0
        status, headers, _ = await send("/k/x", Key="9")
        assert status == 503
        assert 2.0 <= float(headers["Retry-After"]) <= 2.7
        forwarder.error = RouterError(ErrorKind.OUTCOME_UNKNOWN)
        status, headers, _ = await send("/k/x", Key="9")
        assert status == 504
        assert "Retry-After" not in headers


async def test_a_stopping_server_closes_idle_connections():
    # Guards against a keep-alive connection that accepts a request just before the
    # process ends.
    async with served() as (send, _):
        host, port = send.ingress.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /p/x HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 201")
        await reader.readexactly(len("body"))
        await send.ingress.stop_accepting()
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()


HEAD = b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


async def test_a_stopping_server_waits_for_a_request_that_is_being_read():
    # Guards against a request that is cut without an answer, as the process ends while
    # the request has been read and is not counted yet. Found by a hunt on Paani, LOST.
    async with served() as (send, forwarder):
        ingress = send.ingress
        host, port = ingress.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(HEAD + b"bo")
        await until(lambda: any(c.is_busy for c in ingress.runner.server.connections))
        await ingress.stop_accepting()
        stopped = asyncio.ensure_future(ingress.wait_until_idle())
        await asyncio.sleep(0.1)
        assert not stopped.done()
        writer.write(b"dy")
        async with asyncio.timeout(5):
            answer = await reader.read()
            await stopped
        assert answer.startswith(b"HTTP/1.1 201")
        assert [call.body for call in forwarder.calls] == [b"body"]
        writer.close()


async def test_a_connection_that_opens_while_the_server_stops_is_closed_unread():
    async with served() as (send, forwarder):
        ingress = send.ingress
        host, port = ingress.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        await until(lambda: ingress.runner.server.connections)
        stopping = asyncio.ensure_future(ingress.stop_accepting())
        writer.write(HEAD + b"body")
        async with asyncio.timeout(5):
            with suppress(ConnectionResetError):
                assert await reader.read() == b""
            await stopping
            await ingress.wait_until_idle()
        assert forwarder.calls == []
        writer.close()


async def test_a_body_above_the_limit_is_refused_before_it_arrives():
    # Guards against a limit that binds only once the body is whole.
    async with served() as (send, forwarder):
        host, port = send.ingress.runner.addresses[0][:2]
        for head in (b"Content-Length: 101\r\n\r\n", CHUNKED + b"65\r\n" + b"b" * 101):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"POST /p/x HTTP/1.1\r\nHost: h\r\n" + head)
            async with asyncio.timeout(5):
                answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 413")
            writer.close()
        assert forwarder.calls == []


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_TIMES = Limits(1000, 100, header_timeout_s=0.2, idle_timeout_s=0.2)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /p/x HTTP/1.1\r\nHost:", b"HTTP/1.1 408"),
        (HEAD + b"bo", b"HTTP/1.1 408"),
        (b"\r\n" * 10_000, b"HTTP/1.1 431"),
        (b"GET /" + b"x" * 20_000, b"HTTP/1.1 431"),
        (b"", b""),
    ],
    ids=["head", "body", "empty lines", "first line", "nothing"],
)
async def test_a_request_that_does_not_end_is_refused(sent, status):
    # Guards against connections that stay open as long as their clients like. The
    # first answers promise that the request has not run.
    settings = RoutingSettings(7, ROUTES, SERVICES, SHORT_TIMES)
    async with served(settings) as (send, forwarder):
        host, port = send.ingress.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(sent)
        async with asyncio.timeout(10):
            answer = await reader.read()
        assert answer.startswith(status)
        assert bool(answer) == bool(status)
        assert forwarder.calls == []
        assert sum(send.ingress.refusals.counters.values()) == 1
        writer.close()


async def test_an_idle_connection_is_kept_for_the_time_of_the_operator():
    # Guards against a fixed time below the one in which callers reuse connections.
    limits = Limits(1000, 100, idle_timeout_s=1.0)
    settings = RoutingSettings(7, ROUTES, SERVICES, limits)
    async with served(settings) as (send, forwarder):
        host, port = send.ingress.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(2):
            writer.write(HEAD + b"body")
            async with asyncio.timeout(5):
                await reader.readuntil(b"\r\n\r\nbody")
            await asyncio.sleep(0.8)
        assert len(forwarder.calls) == 2
        async with asyncio.timeout(10):
            assert await reader.read() == b""
        writer.close()


async def test_what_is_held_for_callers_returns_to_zero():
    async with served() as (send, _):
        for _ in range(3):
            await send("/p/x", "POST", b"b" * 100)
        await until(lambda: send.ingress.used_bytes() == 0)
