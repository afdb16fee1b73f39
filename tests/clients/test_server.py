"""What a server does once its connections or its memory are used up."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
import structlog
from aiohttp import web

from sesamepost.internal.clients.limits import ClientLimits, RequestLimits
from sesamepost.internal.clients.refusals import RefusalCause, Refusals
from sesamepost.internal.clients.responses import PartwiseResponse
from sesamepost.internal.clients.server import BoundedServer
from tests.waiting import until

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_ANSWER = b"a" * (4 << 20)
TIMEOUT_S = 10.0


@asynccontextmanager
async def served(handler, connections: int = 4, request_bytes: int = 1 << 20):
    server = BoundedServer(
        handler,
        ClientLimits(connections, request_bytes),
        lambda: RequestLimits(idle_timeout_s=60.0),
        handler_cancellation=True,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    writers = []

    async def connect():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 16)
        writers.append(writer)
        return reader, writer

    server.connect = connect
    try:
        yield server
    finally:
        for writer in writers:
            writer.transport.abort()
        await runner.cleanup()


async def answer_shortly(request) -> web.Response:
    return web.Response(text="ok")


async def test_a_newcomer_takes_the_place_of_a_silent_connection():
    # Guards against silent connections that keep ordinary clients out.
    async with served(answer_shortly) as server:
        silent = [await server.connect() for _ in range(4)]
        await until(lambda: len(server.connections) == 4)
        await asyncio.sleep(1.1)
        reader, writer = await server.connect()
        writer.write(GET)
        async with asyncio.timeout(TIMEOUT_S):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            assert await silent[0][0].read() == b""
        assert server.refusals.counters[RefusalCause.NO_CONNECTION] == 1


async def test_connections_with_requests_at_work_are_kept():
    # Guards against a request that was passed on and whose connection is closed.
    release = asyncio.Event()

    async def wait(request) -> web.Response:
        await release.wait()
        return web.Response(text="ok")

    async with served(wait) as server:
        busy = [await server.connect() for _ in range(4)]
        for _, writer in busy:
            writer.write(GET)
        await until(lambda: server.requests_count == 4)
        await asyncio.sleep(1.1)
        newcomer, _ = await server.connect()
        async with asyncio.timeout(TIMEOUT_S):
            with suppress(ConnectionResetError):
                assert await newcomer.read() == b""
            release.set()
            for reader, _ in busy:
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")


async def test_unread_answers_are_dropped_once_they_use_the_memory():
    # Guards against answers that stay in memory as long as their clients like.
    async def answer(request) -> web.Response:
        return PartwiseResponse(body=LARGE_ANSWER)

    async with served(answer) as server:
        reader, writer = await server.connect()
        writer.write(GET)
        await until(lambda: server.refusals.counters[RefusalCause.NO_MEMORY] == 1)
        await until(lambda: server.budget.used_bytes == 0)
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(len(LARGE_ANSWER))


async def test_large_answers_that_are_read_arrive_whole():
    async def answer(request) -> web.Response:
        return PartwiseResponse(body=LARGE_ANSWER)

    async with served(answer, request_bytes=16 << 20) as server:
        reader, writer = await server.connect()
        for _ in range(2):
            writer.write(GET)
            async with asyncio.timeout(TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                assert f"Content-Length: {len(LARGE_ANSWER)}".encode() in head
                assert await reader.readexactly(len(LARGE_ANSWER)) == LARGE_ANSWER
        writer.write(GET.replace(b"GET", b"HEAD"))
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
        await until(lambda: server.budget.used_bytes == 0)


async def test_bytes_that_are_no_request_get_one_short_answer():
    # Guards against answers that repeat what the client sent, and against an error of
    # the parser for each further block.
    async with served(answer_shortly) as server:
        reader, writer = await server.connect()
        for _ in range(20):
            writer.write(b"\x00" * 100_000)
        async with asyncio.timeout(TIMEOUT_S):
            try:
                seen = await reader.read()
            except ConnectionResetError:
                seen = b""
        assert len(seen) < 1000
        assert server.refusals.counters[RefusalCause.MALFORMED] == 1


def test_a_client_has_at_most_one_line_in_a_second():
    # Guards against a log that clients fill.
    refusals = Refusals()
    with structlog.testing.capture_logs() as lines:
        for _ in range(100):
            refusals.note(RefusalCause.NO_MEMORY, "127.0.0.1")
            refusals.note(RefusalCause.HEAD_TIMEOUT, "127.0.0.2")
    assert [line["client"] for line in lines] == ["127.0.0.1", "127.0.0.2"]
    assert refusals.counters == {"no_memory": 100, "head_timeout": 100}


async def test_an_unfinished_head_behind_a_complete_request_is_counted():
    # Guards against heads that use memory without limit behind a request that is whole.
    release = asyncio.Event()

    async def answer_later(request) -> web.Response:
        await release.wait()
        return web.Response(text="ok")

    async with served(answer_later) as server:
        reader, writer = await server.connect()
        field = b"X: " + b"x" * 1000 + b"\r\n"
        writer.write(GET + b"GET / HTTP/1.1\r\nHost: h\r\n" + field * 9)
        await until(lambda: any(c.head_bytes > 9000 for c in server.connections))
        _, other = await server.connect()
        other.write(GET + b"GET / HTTP/1.1\r\nHost: h\r\n" + field * 60)
        await until(lambda: server.refusals.counters[RefusalCause.HEAD_TOO_LARGE] == 1)
        release.set()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")


async def test_a_request_behind_an_upgrade_is_never_refused_once_it_runs():
    # Guards against 408, which promises that a request has not run, while it runs.
    begun = asyncio.Event()

    async def answer_slowly(request) -> web.Response:
        if request.method == "POST":
            begun.set()
            await asyncio.sleep(2.0)
        else:
            await asyncio.sleep(0.2)
        return web.Response(text="ok")

    limits = RequestLimits(header_timeout_s=0.3, idle_timeout_s=60.0)
    async with served(answer_slowly) as server:
        server.limits = lambda: limits
        reader, writer = await server.connect()
        upgrade = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + upgrade + b"\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            await begun.wait()
            received = b""
            while received.count(b"HTTP/1.1") < 2:
                data = await reader.read(1000)
                if not data:
                    break
                received += data
        assert received.count(b"HTTP/1.1 200") == 2
