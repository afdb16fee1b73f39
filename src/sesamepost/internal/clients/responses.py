"""Answers that are written in parts, so that the transport keeps no copy of them."""

from aiohttp import web

# About as much as the transport keeps before it asks to wait.
PART_BYTES = 64 << 10


class PartwiseResponse(web.Response):
    """A response whose body is handed to the transport as the client reads it."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, waiting for the client between its parts."""
        body = self.body
        is_large = isinstance(body, bytes) and len(body) > PART_BYTES
        if not is_large or self._must_be_empty_body or self._eof_sent:
            await super().write_eof(data)
            return
        rest = memoryview(body)
        while len(rest) > PART_BYTES:
            await self.write(bytes(rest[:PART_BYTES]))
            rest = rest[PART_BYTES:]
        await web.StreamResponse.write_eof(self, bytes(rest))
