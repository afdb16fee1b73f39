"""A peer that sends much at once does not stop the event loop of the other side."""

import asyncio
from contextlib import suppress

import pytest

from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.compression import StreamCompression
from sesamepost.internal.wire.frames import FrameReader, encode_frame, encode_frames
from sesamepost.internal.wire.handshake import Handshake
from sesamepost.internal.wire.messages import (
    COMPRESSED_VERSION,
    Answer,
    Pong,
    decode,
    encode,
)
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.forwarding.process_load import ProcessLoad

KEY = b"shared key of the peers"
MAX_STOP_S = 0.1
ANSWERS = 12
BODY = bytes(8 << 20)


def large_answers() -> list[bytes]:
    frames = []
    for call_id in range(1, ANSWERS + 1):
        answer = Answer(call_id, 200, [], BODY, False)
        frames += encode_frames(encode(answer), call_id)
    return frames


def small_messages() -> list[bytes]:
    pong = encode_frame(encode(Pong(1)))
    frames = [pong] * 500_000
    for call_id in range(1, ANSWERS + 1):
        frames += encode_frames(encode(Answer(call_id, 200, [], b"", False)), call_id)
    return frames


class RawPeer:
    """Completes the handshake and sends prepared bytes when it is told to."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.node = new_node_id("vm-raw")
        self.is_started = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        handshake = Handshake(KEY, self.node, False, None, COMPRESSED_VERSION)
        writer.write(encode_frame(encode(handshake.hello)))
        frames = FrameReader()
        while not handshake.proven:
            for payload in frames.feed(await reader.read(1024)):
                reply = handshake.receive(decode(payload))
                if reply is not None:
                    writer.write(encode_frame(encode(reply)))
        await self.is_started.wait()
        writer.write(self.data)
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        self.closed.set()


@pytest.mark.parametrize("frames", [large_answers, small_messages])
async def test_messages_that_compress_well_do_not_stop_the_event_loop(frames):
    # Guards against 100 MiB of messages in one read, which hold up all other requests
    # and the renewals of this node, and against messages lost where it is interrupted.
    data = StreamCompression().compress(b"".join(frames()))
    peer = RawPeer(data)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with PeerPool(new_node_id("vm-b"), KEY, compressed=True) as pool:
        stream = await pool.stream_to(address, peer.node)
        calls = [stream.new_call() for _ in range(ANSWERS)]
        async with ProcessLoad() as load:
            peer.is_started.set()
            async with asyncio.timeout(20):
                answers = await asyncio.gather(*(future for _, future in calls))
        assert [answer.id for answer in answers] == [call_id for call_id, _ in calls]
        assert stream.is_open
    async with asyncio.timeout(5):
        await peer.closed.wait()
    server.close()
    print(f"{len(data)} bytes: stop {load.longest_stop_s * 1000:.0f} ms")
    assert load.longest_stop_s < MAX_STOP_S
