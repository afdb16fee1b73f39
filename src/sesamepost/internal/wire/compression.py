"""Compression of whole streams, for fleets whose traffic is billed by the byte.

The headers of requests and answers repeat from message to message, so they compress
well. The window is small because each node has a stream to every other node.
"""

import zlib
from collections.abc import Iterator

from sesamepost.internal.wire.messages import ProtocolError

COMPRESSION_LEVEL = 1
# Both directions of a stream use about 45 KB of memory with these two settings.
WINDOW_BITS = -12
MEMORY_LEVEL = 5
# Bounds how much decompressed data is held in memory at a time.
MAX_CHUNK_BYTES = 1 << 20


class StreamCompression:
    """Compresses the bytes that one side writes and decompresses those it reads."""

    __slots__ = ("compressor", "decompressor")

    def __init__(self) -> None:
        self.compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )
        self.decompressor = zlib.decompressobj(WINDOW_BITS)

    def compress(self, data: bytes) -> bytes:
        """Compress and flush, so that the peer can decompress all data up to here."""
        return self.compressor.compress(data) + self.compressor.flush(zlib.Z_SYNC_FLUSH)

    def decompress(self, data: bytes) -> Iterator[bytes]:
        """Yield decompressed chunks; raise ``ProtocolError`` if ``data`` is invalid."""
        decompressor = self.decompressor
        try:
            while data:
                yield decompressor.decompress(data, MAX_CHUNK_BYTES)
                data = decompressor.unconsumed_tail
        except zlib.error as error:
            raise ProtocolError(
                f"the stream is not compressed correctly: {error}"
            ) from None
        if decompressor.eof:
            raise ProtocolError("the peer ended the compressed data before the stream")
