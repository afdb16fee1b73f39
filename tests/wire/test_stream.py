"""Tests of streams: invalid bytes, silence, late answers and large messages."""

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.messages import Answer, Request, encode
from sesamepost.internal.wire.pool import Address, PeerPool
from sesamepost.internal.wire.stream import StreamClosedError

KEY = b"shared key of the peers"
ANY_PORT = Address("127.0.0.1", 0)


def request(call_id, body=b"", key="k"):
    return Request(call_id, "s", key, "GET", "/", [], body, 1000, True, "", "", "")


def answer_with_body(stream, item):
    stream.send(Answer(item.id, 200, [], item.body, False))


@asynccontextmanager
async def two_pools(
    on_request=answer_with_body, dialer_key=KEY, compressed=(False, False)
):
    async with (
        PeerPool(new_node_id("vm-a"), KEY, compressed[0]) as server,
        PeerPool(new_node_id("vm-b"), dialer_key, compressed[1]) as client,
    ):
        server.on(Request, on_request)
        address = await server.listen(ANY_PORT)
        yield server, client, address


async def call(stream, body=b""):
    call_id, future = stream.new_call()
    stream.send(request(call_id, body))
    return await asyncio.wait_for(future, 5)


async def test_a_message_larger_than_a_fragment_arrives_whole():
    # Guards against lost or reordered fragments of a large message.
    body = bytes(range(256)) * 8192
    async with two_pools() as (server, client, address):
        stream = await client.stream_to(address, server.node)
        answers = await asyncio.gather(call(stream, body), call(stream, b"small"))
    assert [answer.body for answer in answers] == [body, b"small"]


async def test_a_large_message_does_not_delay_a_small_one_behind_it():
    # Guards against small requests that wait behind a body of several megabytes.
    arrived = asyncio.Queue()
    async with two_pools(lambda stream, item: arrived.put_nowait(len(item.body))) as (
        server,
        client,
        address,
    ):
        stream = await client.stream_to(address, server.node)
        stream.send(request(1, bytes(8 << 20)))
        await asyncio.sleep(0)
        stream.send(request(2, b"small"))
        sizes = [await asyncio.wait_for(arrived.get(), 10) for _ in range(2)]
        assert sizes == [5, 8 << 20]


async def test_a_stream_to_a_peer_that_stops_reading_becomes_unwritable():
    # Guards against unbounded buffers for messages to a peer that does not read.
    async with two_pools() as (server, client, address):
        stream = await client.stream_to(address, server.node)
        server.streams[client.node].transport.pause_reading()
        for number in range(4):
            assert stream.writable.is_set()
            stream.send(request(number, bytes(8 << 20)))
        assert not stream.writable.is_set()
        server.streams[client.node].transport.resume_reading()
        await asyncio.wait_for(stream.writable.wait(), 5)


async def test_a_peer_without_the_key_is_refused():
    # Guards against accepting a stream whose peer did not prove the shared key.
    async with two_pools(dialer_key=b"another key") as (server, client, address):
        with pytest.raises(StreamClosedError):
            await client.stream_to(address, server.node)
        assert server.streams == {}


async def test_connecting_to_an_unexpected_incarnation_fails():
    # Guards against mistaking a restarted daemon for the one that held the lease.
    async with two_pools() as (server, client, address):
        with pytest.raises(StreamClosedError, match="expected"):
            await client.stream_to(address, new_node_id("vm-a"))
        assert server.counters["unhandled_messages"] == 0


async def test_garbage_closes_only_the_connection_that_sent_it():
    # Guards against a faulty client that disturbs the requests of other streams.
    async with two_pools() as (server, client, address):
        stream = await client.stream_to(address, server.node)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait_for(reader.read(), 5)
        assert reader.at_eof()
        writer.close()
        assert (await call(stream, b"fine")).body == b"fine"


async def test_a_late_answer_is_not_given_to_another_call():
    # Guards against reuse of a call id after its caller has stopped waiting.
    received = asyncio.Queue()
    async with two_pools(lambda stream, item: received.put_nowait((stream, item))) as (
        server,
        client,
        address,
    ):
        stream = await client.stream_to(address, server.node)
        first_id, _ = stream.new_call()
        stream.send(request(first_id))
        stream.forget_call(first_id)
        second_id, second = stream.new_call()
        stream.send(request(second_id))
        for _ in range(2):
            remote, item = await asyncio.wait_for(received.get(), 5)
            remote.send(Answer(item.id, 200, [], str(item.id).encode(), False))
        answer = await asyncio.wait_for(second, 5)
        assert answer.body == str(second_id).encode()
        assert stream.unmatched_answers == 1


async def test_a_silent_stream_is_closed_and_its_calls_fail():
    # Guards against calls that never end on a connection without any traffic.
    async with two_pools(lambda stream, item: None) as (server, client, address):
        stream = await client.stream_to(address, server.node)
        server.streams[client.node].transport.pause_reading()
        call_id, future = stream.new_call()
        stream.send(request(call_id))
        with pytest.raises(StreamClosedError, match="nothing received"):
            await asyncio.wait_for(future, 4)


async def test_a_message_before_the_handshake_closes_the_stream():
    # Guards against serving a peer that sends requests without a handshake.
    async with two_pools() as (_server, _client, address):
        reader, writer = await asyncio.open_connection(*address)
        payload = encode(request(1))
        writer.write(len(payload).to_bytes(4, "big") + payload)
        await asyncio.wait_for(reader.read(), 5)
        assert reader.at_eof()
        writer.close()


async def test_a_call_without_an_answer_fails_at_its_deadline():
    # Guards against a call that never ends because its owner answers only other calls.
    async with two_pools(lambda stream, item: None) as (server, client, address):
        stream = await client.stream_to(address, server.node)
        call_id, future = stream.new_call(0.05)
        _, other = stream.new_call(60.0)
        stream.send(request(call_id))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(future), 5)
        assert future.done()
        assert not other.done()
        assert stream.is_open


async def test_silence_is_detected_again_after_an_idle_period():
    # Guards against a silence check that stops with the first call and is not
    # restarted for the next one.
    async with two_pools() as (server, client, address):
        stream = await client.stream_to(address, server.node)
        assert client.waiting == set(), "an idle stream must not be checked for silence"
        await call(stream, b"first")
        async with asyncio.timeout(2):
            while client.waiting:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

        server.streams[client.node].transport.pause_reading()
        call_id, future = stream.new_call()
        stream.send(request(call_id))
        with pytest.raises(StreamClosedError, match="nothing received"):
            await asyncio.wait_for(future, 4)


async def test_byte_counts_include_closed_streams():
    # Guards against byte counts that decrease or count a stream twice.
    async with two_pools() as (server, client, address):
        stream = await client.stream_to(address, server.node)
        await call(stream, bytes(1000))
        sent, received = client.bytes_sent, client.bytes_received
        assert sent == stream.bytes_sent > 1000
        assert (sent, received) == (server.bytes_received, server.bytes_sent)

        stream.close("closed by the test")

        assert (client.bytes_sent, client.bytes_received) == (sent, received)


@pytest.mark.parametrize("size", [0, 100, 300_000, 8 << 20])
async def test_compressed_streams_carry_the_same_messages(size):
    # Guards against corruption of empty, large or incompressible bodies by compression.
    bodies = [bytes(size), random.Random(1).randbytes(size)]
    async with two_pools(compressed=(True, True)) as (server, client, address):
        stream = await client.stream_to(address, server.node)
        answers = await asyncio.gather(*(call(stream, body) for body in bodies))
    assert [answer.body for answer in answers] == bodies


async def test_compressed_streams_send_repeated_headers_once():
    # Guards against sending all headers with each request; they were half of the billed
    # bytes of small requests.
    headers = [("X-Request-Header", "the same value in each request")] * 6
    sent = {}
    for compressed in (False, True):
        async with two_pools(compressed=(compressed,) * 2) as (server, client, address):
            stream = await client.stream_to(address, server.node)
            for number in range(50):
                call_id, future = stream.new_call()
                item = request(call_id, key=str(number))
                stream.send(replace(item, headers=headers))
                await asyncio.wait_for(future, 5)
            sent[compressed] = stream.bytes_sent
    assert sent[True] < sent[False] / 3


async def test_peers_with_different_compression_settings_cannot_connect():
    # Guards against one side misinterpreting the other side's bytes.
    async with two_pools(compressed=(True, False)) as (server, client, address):
        with pytest.raises(StreamClosedError):
            await client.stream_to(address, server.node)


async def test_uncompressed_bytes_close_a_compressed_stream():
    # Guards against decompression errors that leave an unusable stream open.
    async with two_pools(compressed=(True, True)) as (server, client, address):
        stream = await client.stream_to(address, server.node)
        (accepted,) = server.open
        stream.transport.write(bytes([0xFF]) * 64)
        async with asyncio.timeout(5):
            while accepted.is_open:  # noqa: ASYNC110 - streams have no event
                await asyncio.sleep(0.01)
    assert "compressed" in accepted.closed_reason
