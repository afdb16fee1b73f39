"""Compression of a whole stream, for fleets whose links are billed by the byte.

Headers of requests and answers repeat from message to message, so most of their bytes
vanish. The window is small, as a node has streams to all others.
"""

import zlib
from collections.abc import Iterator

from sesamepost.internal.wire.messages import ProtocolError

LEVEL = 1
# Together about 45 KB for both directions of a stream.
WINDOW_BITS = -12
MEMORY_LEVEL = 5
# Bounds what one read can unpack to at a time.
MAX_PIECE_BYTES = 1 << 20


class StreamCompression:
    """Packs what one side writes and unpacks what it reads."""

    __slots__ = ("packer", "unpacker")

    def __init__(self) -> None:
        self.packer = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)
        self.unpacker = zlib.decompressobj(WINDOW_BITS)

    def pack(self, data: bytes) -> bytes:
        """Return bytes from which the peer can unpack all data up to here."""
        return self.packer.compress(data) + self.packer.flush(zlib.Z_SYNC_FLUSH)

    def unpack(self, data: bytes) -> Iterator[bytes]:
        """Yield what arrived in pieces; raise ``ProtocolError`` if it is invalid."""
        unpacker = self.unpacker
        try:
            while data:
                yield unpacker.decompress(data, MAX_PIECE_BYTES)
                data = unpacker.unconsumed_tail
        except zlib.error as error:
            raise ProtocolError(f"the stream is not compressed: {error}") from None
        if unpacker.eof:
            raise ProtocolError("the compressed stream has ended")
