"""Length-prefixed frames, and the fragmentation of large messages."""

import struct
from collections.abc import Iterator

from sesamepost.internal.wire.messages import Fragment, ProtocolError, encode

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 1 << 20
MAX_HANDSHAKE_FRAME_BYTES = 1 << 10
MAX_MESSAGE_BYTES = 9 << 20
FRAGMENT_BYTES = 64 << 10
# Messages up to this size are never split, however small the fragments are.
SMALL_MESSAGE_BYTES = 4 << 10
MAX_OPEN_FRAGMENTED_MESSAGES = 64
# A sender writes the fragments of one message in sequence, so few messages are
# incomplete at the same time.
MAX_OPEN_FRAGMENT_BYTES = 4 * MAX_MESSAGE_BYTES
MAX_FRAGMENTS = MAX_MESSAGE_BYTES // FRAGMENT_BYTES + 1


class FrameReader:
    """Splits the received bytes into frames.

    ``limit`` is the largest accepted frame. It is small until the peer has proved the
    shared key, which bounds the memory that an unauthenticated peer can use.
    """

    __slots__ = ("buffer", "limit")

    def __init__(self, limit: int = MAX_HANDSHAKE_FRAME_BYTES) -> None:
        self.buffer = bytearray()
        self.limit = limit

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield the payloads of all complete frames.

        The limit is read for each frame, since the handshake may raise it between
        two frames that arrived together.
        """
        buffer = self.buffer
        buffer += data
        start = 0
        available = len(buffer)
        while available - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > self.limit:
                raise ProtocolError(
                    f"a frame of {length} bytes exceeds the limit of {self.limit}"
                )
            end = start + LENGTH.size + length
            if end > available:
                break
            yield bytes(buffer[start + LENGTH.size : end])
            start = end
        if start:
            del buffer[:start]

    def pop_frame(self) -> bytes | None:
        """Remove and return the first frame's payload, or None if it is incomplete.

        Used during the handshake, whose last frame may be followed by compressed data.
        """
        buffer = self.buffer
        if len(buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(buffer)
        if length > self.limit:
            raise ProtocolError(
                f"a frame of {length} bytes exceeds the limit of {self.limit}"
            )
        end = LENGTH.size + length
        if end > len(buffer):
            return None
        payload = bytes(buffer[LENGTH.size : end])
        del buffer[:end]
        return payload


class FragmentAssembler:
    """Reassembles large messages from their fragments in bounded memory."""

    __slots__ = ("parts", "sizes", "total_bytes")

    def __init__(self) -> None:
        self.parts: dict[int, list[bytes]] = {}
        self.sizes: dict[int, int] = {}
        self.total_bytes = 0

    def add(self, fragment: Fragment) -> bytes | None:
        """Add a fragment; return the whole message if it was the last one.

        Raises ``ProtocolError`` if the peer exceeds a limit. Empty fragments are
        invalid, since any number of them would stay below all limits in bytes.
        """
        if not fragment.data:
            raise ProtocolError("received an empty fragment")
        sequence = fragment.sequence
        parts = self.parts.setdefault(sequence, [])
        if len(self.parts) > MAX_OPEN_FRAGMENTED_MESSAGES:
            raise ProtocolError("too many fragmented messages are incomplete")
        parts.append(fragment.data)
        size = self.sizes.get(sequence, 0) + len(fragment.data)
        self.sizes[sequence] = size
        self.total_bytes += len(fragment.data)
        if size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message exceeds {MAX_MESSAGE_BYTES} bytes")
        if self.total_bytes > MAX_OPEN_FRAGMENT_BYTES:
            raise ProtocolError(
                f"incomplete messages exceed {MAX_OPEN_FRAGMENT_BYTES} bytes"
            )
        if len(parts) > MAX_FRAGMENTS:
            raise ProtocolError(f"a message has more than {MAX_FRAGMENTS} fragments")
        if not fragment.last:
            return None
        del self.parts[sequence], self.sizes[sequence]
        self.total_bytes -= size
        return b"".join(parts)


def encode_frame(payload: bytes) -> bytes:
    """Return ``payload`` prefixed with its length."""
    return LENGTH.pack(len(payload)) + payload


def encode_frames(
    payload: bytes, sequence: int, fragment_bytes: int = FRAGMENT_BYTES
) -> list[bytes]:
    """Return the frames of an encoded message, split into fragments if large.

    Fragments of messages near the limit are larger than ``fragment_bytes``, since the
    receiver accepts at most ``MAX_FRAGMENTS`` of one message.
    """
    if len(payload) <= max(fragment_bytes, SMALL_MESSAGE_BYTES):
        return [encode_frame(payload)]
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(
            f"a message of {len(payload)} bytes exceeds the limit of"
            f" {MAX_MESSAGE_BYTES}"
        )
    fragment_bytes = max(fragment_bytes, -(-len(payload) // MAX_FRAGMENTS))
    frames = []
    for start in range(0, len(payload), fragment_bytes):
        end = start + fragment_bytes
        fragment = Fragment(sequence, end >= len(payload), payload[start:end])
        frames.append(encode_frame(encode(fragment)))
    return frames
