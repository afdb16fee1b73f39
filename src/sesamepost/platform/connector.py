"""A connector whose connections bound the interim responses that they queue."""

from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

# The queue is checked after each of these parts of a read, which may have 256 KiB.
PARSE_SLICE_BYTES = 8 << 10
# One connection has one response in flight, after few interim responses.
MAX_QUEUED_RESPONSES = 32


class BoundedResponses(ResponseHandler):
    """Closes the connection if more responses arrive than a call can have."""

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; ``aiohttp`` would queue any number of heads among them."""
        if not data:
            # The call of ``aiohttp`` itself that continues after a pause.
            super().data_received(data)
            return
        for start in range(0, len(data), PARSE_SLICE_BYTES):
            super().data_received(data[start : start + PARSE_SLICE_BYTES])
            if len(self._buffer) > MAX_QUEUED_RESPONSES:
                self.abort()
            if self.transport is None or self.transport.is_closing():
                return


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections with ``BoundedResponses``."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = partial(BoundedResponses, loop=self._loop)

    def close_idle(self) -> None:
        """Close the connections on which no call waits for a response."""
        for connections in self._conns.values():
            for protocol, _ in connections:
                protocol.abort()
        self._conns.clear()
