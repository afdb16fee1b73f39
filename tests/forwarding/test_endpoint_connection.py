"""Responses of endpoints that are cut off, duplicated or invalid."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.forwarding.endpoint_connection import (
    MAX_ANSWER_BYTES,
    MAX_FAILED_IDS,
)
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool, Listening
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.wire.pool import Address

NAMES = HeaderNames("Id", "Timeout", "Not-Run", "From", "Only", "Key", "Instance")


def answer(request_id: str, body: str, extra: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class ScriptedEndpoint:
    """Answers the n-th request with the n-th script, a list of bytes and actions."""

    def __init__(self, scripts: list[list]) -> None:
        self.scripts = scripts
        self.connections = 0
        self.requests: list[bytes] = []
        self.request_received = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while self.scripts:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                self.request_received.set()
                for step in self.scripts.pop(0):
                    if step == "reset":
                        linger = struct.pack("ii", 1, 0)
                        connection = writer.get_extra_info("socket")
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                        writer.transport.abort()
                        return
                    if step == "close":
                        writer.close()
                        return
                    if step == "wait":
                        await reader.read()
                        self.closed.set()
                        return
                    writer.write(step)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@asynccontextmanager
async def pool_to(*scripts: list):
    endpoint = ScriptedEndpoint(list(scripts))
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with EndpointPool(address, NAMES) as pool:
        yield pool, endpoint
    server.close()


async def send(pool: EndpointPool, request_id: str):
    return await pool.send("GET", "/a", [("Host", "h")], b"", request_id)


async def test_a_connection_is_reused():
    async with pool_to([answer("1", "one")], [answer("2", "two")]) as (pool, endpoint):
        assert (await send(pool, "1")).body == b"one"
        assert (await send(pool, "2")).body == b"two"
        assert endpoint.connections == 1


async def test_a_second_response_is_not_taken_for_that_of_the_next_request():
    # The extra response arrives after the next request and before its response.
    late = [answer("1", "extra"), answer("2", "two")]
    async with pool_to([answer("1", "one")], late) as (pool, _):
        assert (await send(pool, "1")).body == b"one"
        assert (await send(pool, "2")).body == b"two"
        assert pool.counters["skipped_answers"] == 1


async def test_extra_bytes_after_a_response_close_the_connection():
    doubled = answer("1", "one") + answer("1", "one")
    async with pool_to([doubled], [answer("2", "two")]) as (pool, endpoint):
        assert (await send(pool, "1")).body == b"one"
        assert (await send(pool, "2")).body == b"two"
        assert endpoint.connections == 2


def refusal(request_id: str = "") -> bytes:
    id_header = f"Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 503 Service Unavailable\r\n{id_header}Not-Run: 1\r\n"
    return f"{head}Content-Length: 0\r\n\r\n".encode()


async def test_a_late_copy_of_a_refusal_does_not_refuse_the_next_request():
    # Guards against "not run" as the outcome of a request that the endpoint runs.
    late = [refusal("1"), answer("2", "two")]
    async with pool_to([refusal("1")], late) as (pool, endpoint):
        assert (await send(pool, "1")).status == 503
        assert (await send(pool, "2")).body == b"two"
        assert endpoint.connections == 1


async def test_a_late_copy_of_a_refusal_does_not_refuse_the_same_request_again():
    # Guards against a second run of a request that is sent to its owner once more after
    # a refusal: the copy bears the id of the second attempt too.
    scripts = [refusal("1")], [answer("1", "one")]
    async with pool_to(*scripts) as (pool, endpoint):
        assert (await send(pool, "1")).status == 503
        assert (await send(pool, "1")).body == b"one"
        assert endpoint.connections == 2


async def test_a_response_without_an_id_ends_its_connection():
    # Guards against a copy of it that is taken for the response to the next request.
    async with pool_to([refusal()], [answer("2", "two")]) as (pool, endpoint):
        assert (await send(pool, "1")).status == 503
        assert (await send(pool, "2")).body == b"two"
        assert endpoint.connections == 2


async def test_ids_of_failed_requests_do_not_fill_the_memory():
    scripts = [[refusal(str(i))] for i in range(MAX_FAILED_IDS + 2)]
    async with pool_to(*scripts) as (pool, endpoint):
        for i in range(MAX_FAILED_IDS + 2):
            assert (await send(pool, str(i))).status == 503
        assert endpoint.connections == 2


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", "close"], "answer_cut"),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", "reset"], "answer_cut"),
        ([b"HTTP/1.1 200 OK\r\n\r\nhalf", "reset"], "answer_cut"),
        ([b"\x00\x01 no answer\r\n\r\n"], "answer_cut"),
        (["reset"], "outcome_unknown"),
        (["close"], "outcome_unknown"),
    ],
)
async def test_a_truncated_response_raises_an_error(script, kind):
    async with pool_to(script) as (pool, _):
        with pytest.raises(RouterError) as caught:
            await send(pool, "1")
        assert caught.value.kind.startswith(kind)


async def test_a_response_without_a_length_ends_with_its_connection():
    script = [b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", "close"]
    async with pool_to(script) as (pool, _):
        assert (await send(pool, "1")).body == b"whole"


async def test_a_cancelled_request_closes_its_connection_to_the_endpoint():
    async with pool_to(["wait"]) as (pool, endpoint):
        task = asyncio.ensure_future(send(pool, "1"))
        await endpoint.request_received.wait()
        task.cancel()
        async with asyncio.timeout(5):
            await endpoint.closed.wait()


async def test_a_closed_port_means_that_nothing_was_sent():
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    server.close()
    await server.wait_closed()
    async with EndpointPool(address, NAMES) as pool:
        with pytest.raises(RouterError) as caught:
            await send(pool, "1")
        assert caught.value.kind is ErrorKind.ENDPOINT_UNREACHABLE
        assert await pool.probe() is Listening.NO


class EndlessEndpoint:
    """Sends a prefix and then repeats the same bytes until the connection closes."""

    def __init__(self, prefix: bytes, repeated: bytes) -> None:
        self.prefix = prefix
        self.repeated = repeated * (1 + 16384 // len(repeated))
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.prefix)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.sent += len(self.repeated)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


OK_HEAD = b"HTTP/1.1 200 OK\r\nId: 1\r\n"
ENDLESS = {
    "no HTTP response": (b"", b"\x00\x01\x02"),
    "a status line": (b"HTTP/1.1 200 ", b"O"),
    "a header": (OK_HEAD + b"X: ", b"y"),
    "many headers": (OK_HEAD, b"X: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "a body without a length": (OK_HEAD + b"\r\n", b"z"),
    "many chunks": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nz\r\n"),
    "a chunk's length": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "trailers": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n"),
    "responses to other requests": (b"", answer("9", "z")),
}
# The largest accepted response, plus what the buffers of both sides may hold.
MAX_ENDLESS_BYTES = MAX_ANSWER_BYTES + (16 << 20)


@pytest.mark.parametrize("where", ENDLESS)
async def test_endless_responses_are_cut_off_at_a_size_limit(where):
    # Guards against an endpoint that keeps a node reading until the deadline or fills
    # the node's memory.
    endpoint = EndlessEndpoint(*ENDLESS[where])
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with EndpointPool(address, NAMES) as pool:
        with pytest.raises(RouterError):
            async with asyncio.timeout(20):
                await send(pool, "1")
        async with asyncio.timeout(5):
            await endpoint.closed.wait()
        assert endpoint.sent < MAX_ENDLESS_BYTES
        assert not pool.idle
    server.close()


# The last cut leaves out only the empty line that ends the head.
HEAD = answer("r", "body").partition(b"body")[0]


@pytest.mark.parametrize("cut", range(0, len(HEAD), 3))
async def test_an_answer_that_ends_within_its_head_is_no_answer(cut):
    # Guards against a 200 with an empty or short body that is framed as whole, as other
    # operators saw when an endpoint stopped in the middle of a head.
    async with pool_to([HEAD[:cut], "close"]) as (pool, _):
        with pytest.raises(RouterError) as caught:
            await send(pool, "r")
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
