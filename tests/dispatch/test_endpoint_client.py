"""Tests of requests to an endpoint and of the outcome reported if they fail."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from sesamepost.errors import ANSWERS, ErrorKind, Outcome, RouterError
from sesamepost.internal.dispatch.endpoint_client import DispatchContext, EndpointClient
from sesamepost.internal.wire.messages import Request
from tests.forwarding.test_invalid_statuses import INVALID_STATUSES, UNKNOWN_STATUSES

WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSE = b"close"
CONTEXT = DispatchContext("0", 1, 2.0, 1e9)


def request(method, target="/", headers=()):
    return Request(
        1, "s", "k", method, target, list(headers), b"", 2000, False, "", "", ""
    )


@asynccontextmanager
async def connected_client(answers):
    """Connect a client to a server that sends ``answers`` one after another.

    The server closes the connection after an answer that ends with ``CLOSE``.
    """
    received = []

    async def serve(reader, writer):
        try:
            while True:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                answer = answers.pop(0)
                writer.write(answer.removesuffix(CLOSE))
                if answer.endswith(CLOSE):
                    return
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = EndpointClient(f"http://127.0.0.1:{port}", 4)
    client.open()
    try:
        yield client, received
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_a_reused_connection_that_breaks_does_not_repeat_the_request(method):
    # Guards against the HTTP client's automatic retry, which would run a request twice
    # that must not be repeated.
    async with connected_client([WHOLE_ANSWER, CLOSE, WHOLE_ANSWER]) as (
        client,
        received,
    ):
        await client.send(request(method), CONTEXT)
        with pytest.raises(RouterError) as failure:
            await client.send(request(method), CONTEXT)
        assert failure.value.kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(received) == 2


async def test_a_refused_connection_is_reported_as_not_run():
    # Guards against the outcome "unknown" when nothing can have reached the endpoint.
    async with connected_client([]) as (client, _):
        pass
    closed = EndpointClient(str(client.base_url), 4)
    closed.open()
    with pytest.raises(RouterError) as failure:
        await closed.send(request("POST"), CONTEXT)
    await closed.close()
    assert failure.value.kind is ErrorKind.ENDPOINT_UNREACHABLE


async def test_an_incomplete_chunked_answer_is_reported_as_cut_off():
    # Guards against accepting a chunked answer whose last chunk is missing.
    half = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe"
    async with connected_client([half + CLOSE]) as (client, _):
        with pytest.raises(RouterError) as failure:
            await client.send(request("GET"), CONTEXT)
        assert failure.value.kind is ErrorKind.ANSWER_CUT_OFF


@pytest.mark.parametrize("target", ["/a%2Fb/%C3%A9", "//h/x?a=%20+b", "/a/../b#c?d"])
async def test_a_target_reaches_the_endpoint_unchanged(target):
    # Guards against a URL library that drops a "#" or normalises the path.
    async with connected_client([WHOLE_ANSWER]) as (client, received):
        await client.send(request("GET", target), CONTEXT)
    assert received[0].split(b"\r\n")[0] == f"GET {target} HTTP/1.1".encode()


async def test_only_header_fields_of_the_caller_and_the_router_are_sent():
    # Guards against a Content-Type added by the HTTP client and a lost repeated field.
    async with connected_client([WHOLE_ANSWER]) as (client, received):
        sent = request("POST", headers=[["X-A", "1"], ["X-A", "2"]])
        await client.send(replace(sent, body=b"x"), CONTEXT)
    fields = [line.partition(b":")[0] for line in received[0].split(b"\r\n")[1:-2]]
    names = [f.decode().lower() for f in fields if not f.startswith(b"Sesamepost-")]
    assert sorted(names) == ["content-length", "host", "x-a", "x-a"]


async def test_an_answer_to_head_keeps_its_content_length():
    # Guards against rejecting a large resource as too large although no body is sent.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\nETag: 1\r\n\r\n"
    async with connected_client([answer]) as (client, _):
        result = await client.send(request("HEAD"), CONTEXT)
    assert (result.status, result.body) == (200, b"")
    assert result.headers == [("ETag", "1"), ("Content-Length", "99999999")]


async def test_answer_fields_listed_in_connection_are_not_forwarded():
    # Guards against forwarding a field that applies only to the endpoint's connection.
    answer = (
        b"HTTP/1.1 200 OK\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
        b"Set-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"
    )
    async with connected_client([answer]) as (client, _):
        result = await client.send(request("GET"), CONTEXT)
    assert result.headers == [("Set-Cookie", "a"), ("Set-Cookie", "b")]


HEAD = WHOLE_ANSWER.removesuffix(b"ok")


@pytest.mark.parametrize("cut", range(0, len(HEAD), 3))
async def test_an_answer_that_ends_within_its_head_is_no_answer(cut):
    # Guards against a 200 with an empty body that is framed as whole, as other
    # operators saw when an endpoint stopped in the middle of a head.
    async with connected_client([HEAD[:cut] + CLOSE]) as (client, _):
        with pytest.raises(RouterError) as caught:
            await client.send(request("GET"), CONTEXT)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


def answer_with(status: str) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\nbody".encode()


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", ["101", *INVALID_STATUSES, *UNKNOWN_STATUSES])
async def test_an_answer_with_an_invalid_status_is_not_passed_on(status, method):
    # Guards against a caller that takes the status of a broken endpoint for an answer,
    # and against a second run of its request.
    async with connected_client([answer_with(status), WHOLE_ANSWER]) as (
        client,
        received,
    ):
        with pytest.raises(RouterError) as caught:
            await client.send(request(method), CONTEXT)
        answer = ANSWERS[caught.value.kind]
        assert (answer.status, answer.outcome) == (502, Outcome.UNKNOWN)
        assert len(received) == 1


@pytest.mark.parametrize(
    "answer",
    [answer_with("102"), answer_with("199"), b"HTTP/1.1 100 X\r\n\r\n" * 1000],
    ids=["102", "199", "without end"],
)
async def test_an_informational_answer_is_not_the_final_one(answer):
    context = CONTEXT._replace(timeout_s=0.5)
    async with connected_client([answer + CLOSE]) as (client, received):
        with pytest.raises(RouterError) as caught:
            await client.send(request("POST"), context)
        assert ANSWERS[caught.value.kind].outcome is Outcome.UNKNOWN
        assert len(received) == 1


async def test_informational_answers_without_end_are_given_up():
    # Guards against a caller that waits for its deadline while they are read.
    endless = b"HTTP/1.1 100 Continue\r\n\r\n" * 100_000
    async with connected_client([endless]) as (client, received):
        with pytest.raises(RouterError) as caught:
            await client.send(request("POST"), CONTEXT)
        assert ANSWERS[caught.value.kind].outcome is Outcome.UNKNOWN
        assert len(received) == 1
