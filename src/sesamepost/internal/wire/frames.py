"""Length-prefixed frames and the fragments of large messages."""

import struct
from collections.abc import Iterator

from sesamepost.internal.wire.messages import Fragment, ProtocolError, encode

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 1 << 20
MAX_HANDSHAKE_FRAME_BYTES = 1 << 10
MAX_MESSAGE_BYTES = 9 << 20
FRAGMENT_BYTES = 64 << 10
MAX_OPEN_FRAGMENTED_MESSAGES = 64
# A sender writes the fragments of one message in a row, so few messages are open.
MAX_OPEN_FRAGMENT_BYTES = 4 * MAX_MESSAGE_BYTES
MAX_FRAGMENTS = MAX_MESSAGE_BYTES // FRAGMENT_BYTES + 1


class FrameReader:
    """Splits the received bytes into frames.

    ``limit`` is small until the peer has proved the shared key, so that an unknown
    sender cannot make the daemon buffer much.
    """

    __slots__ = ("buffer", "limit")

    def __init__(self, limit: int = MAX_HANDSHAKE_FRAME_BYTES) -> None:
        self.buffer = bytearray()
        self.limit = limit

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield the frames that are complete.

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
        """Return the first frame of the buffer, None if it is not complete yet.

        During the handshake what follows a frame may have to be read in another way.
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
    """Joins the fragments of large messages, with bounded memory."""

    __slots__ = ("parts", "sizes", "total_bytes")

    def __init__(self) -> None:
        self.parts: dict[int, list[bytes]] = {}
        self.sizes: dict[int, int] = {}
        self.total_bytes = 0

    def add(self, fragment: Fragment) -> bytes | None:
        """Return the whole message when its last fragment has arrived.

        Raises ``ProtocolError`` if the peer exceeds a bound. Empty fragments are
        invalid: any number of them would stay below every bound in bytes.
        """
        if not fragment.data:
            raise ProtocolError("a fragment is empty")
        sequence = fragment.sequence
        parts = self.parts.setdefault(sequence, [])
        if len(self.parts) > MAX_OPEN_FRAGMENTED_MESSAGES:
            raise ProtocolError("too many fragmented messages are open")
        parts.append(fragment.data)
        size = self.sizes.get(sequence, 0) + len(fragment.data)
        self.sizes[sequence] = size
        self.total_bytes += len(fragment.data)
        if size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message exceeds {MAX_MESSAGE_BYTES} bytes")
        if self.total_bytes > MAX_OPEN_FRAGMENT_BYTES:
            raise ProtocolError(
                f"open fragmented messages exceed {MAX_OPEN_FRAGMENT_BYTES} bytes"
            )
        if len(parts) > MAX_FRAGMENTS:
            raise ProtocolError(f"a message has more than {MAX_FRAGMENTS} fragments")
        if not fragment.last:
            return None
        del self.parts[sequence], self.sizes[sequence]
        self.total_bytes -= size
        return b"".join(parts)


def encode_frame(payload: bytes) -> bytes:
    """Return ``payload`` with its length in front."""
    return LENGTH.pack(len(payload)) + payload


def encode_frames(payload: bytes, sequence: int) -> list[bytes]:
    """Return the frames that carry an encoded message, cut if it is large."""
    if len(payload) <= FRAGMENT_BYTES:
        return [encode_frame(payload)]
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(
            f"a message of {len(payload)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    frames = []
    for start in range(0, len(payload), FRAGMENT_BYTES):
        end = start + FRAGMENT_BYTES
        fragment = Fragment(sequence, end >= len(payload), payload[start:end])
        frames.append(encode_frame(encode(fragment)))
    return frames
