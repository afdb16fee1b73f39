"""Compression of a whole stream, for fleets whose links are billed by the byte.

Headers of requests and answers repeat from message to message, so most of their bytes
vanish. The window is small, as a node has streams to all others.
"""

import zlib
from collections.abc import Iterator

from sesamepost.internal.wire.messages import ProtocolError

COMPRESSION_LEVEL = 1
# Together about 45 KB for both directions of a stream.
WINDOW_BITS = -12
MEMORY_LEVEL = 5
# Bounds what one read can unpack to at a time.
MAX_CHUNK_BYTES = 1 << 20


class StreamCompression:
    """Packs what one side writes and unpacks what it reads."""

    __slots__ = ("compressor", "decompressor")

    def __init__(self) -> None:
        self.compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )
        self.decompressor = zlib.decompressobj(WINDOW_BITS)

    def compress(self, data: bytes) -> bytes:
        """Return bytes from which the peer can unpack all data up to here."""
        return self.compressor.compress(data) + self.compressor.flush(zlib.Z_SYNC_FLUSH)

    def decompress(self, data: bytes) -> Iterator[bytes]:
        """Yield what arrived in pieces; raise ``ProtocolError`` if it is invalid."""
        decompressor = self.decompressor
        try:
            while data:
                yield decompressor.decompress(data, MAX_CHUNK_BYTES)
                data = decompressor.unconsumed_tail
        except zlib.error as error:
            raise ProtocolError(f"the stream is not compressed: {error}") from None
        if decompressor.eof:
            raise ProtocolError("the compressed stream has ended")
