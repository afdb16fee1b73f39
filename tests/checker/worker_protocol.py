"""The connections of a worker of the checker, over sockets or in memory."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.checker.worker_server import WorkerServer

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Call:
    """One complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class WorkerProtocol(asyncio.Protocol):
    """One connection to a worker, which serves one request at a time."""

    def __init__(self, server: "WorkerServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.is_busy = False
        self.is_silent = False
        self.answer_delay_s = 0.0
        # The id of the request that the worker runs for this connection.
        self.at_work = ""
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Reset the connection if the process has ended or accepts no more."""
        self.transport = transport
        server = self.server
        limit = server.max_connections
        is_full = limit is not None and len(server.connections) >= limit
        if server.worker.has_ended or is_full:
            transport.abort()
            return
        server.connections.add(self)
        self._wait_idle()

    def data_received(self, data: bytes) -> None:
        """Carry out complete requests."""
        self.received += data
        self._parse()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the request at work, as most workers do."""
        self.server.connections.discard(self)
        self._stop_idle_timer()
        if self.at_work:
            self.server.drop(self.at_work)
            self.at_work = ""

    def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Answer the present request, late or never if a fault says so."""
        if self.is_silent:
            return
        delay_s, self.answer_delay_s = self.answer_delay_s, 0.0
        lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}\r\n\r\n")
        data = "\r\n".join(lines).encode() + body
        if delay_s:
            self.server.loop.call_later(
                delay_s, self.server.run, partial(self._write, data)
            )
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(data)
        self.is_busy = False
        self._wait_idle()
        self._parse()

    def _parse(self) -> None:
        """Carry out the next request if it is complete."""
        if self.is_busy:
            return
        end = self.received.find(b"\r\n\r\n")
        if end < 0:
            return
        request_line, *lines = self.received[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        begin = end + 4
        if len(self.received) < begin + size:
            return
        body = self.received[begin : begin + size]
        self.received = self.received[begin + size :]
        method, target, _ = request_line.split(" ")
        self.is_busy = True
        self._stop_idle_timer()
        call = Call(method, target, headers, body)
        server = self.server
        arrived_at = server.worker.now()
        server.run(partial(server.execute, self, call, arrived_at))

    def _wait_idle(self) -> None:
        timeout_s = self.server.idle_timeout_s
        if timeout_s is not None:
            self.idle_timer = self.server.loop.call_later(timeout_s, self._close_idle)

    def _close_idle(self) -> None:
        self.server.run(self.transport.close)

    def _stop_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
