"""Starts pipelined requests before the answers in front of them are written.

``aiohttp`` handles the requests of a connection one after the other, so a caller that
sends several at once would wait for the sum of their times. The answers keep their
order, since ``aiohttp`` still writes them one by one.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from sesamepost.internal.clients.connection import BoundedConnection, body_size
from sesamepost.internal.clients.server import BoundedServer

StartPipelined = Callable[[RawRequestMessage, StreamReader], asyncio.Task | None]


class PipelinedHandler(BoundedConnection):
    """One connection; ``start_pipelined`` is called with each request that waits.

    Its payload is complete by then. ``start_pipelined`` reads it only if it starts a
    task for the request.
    """

    __slots__ = (
        "answered",
        "held_answers",
        "is_closing",
        "pipelined",
        "start_pipelined",
    )

    def __init__(self, manager, start_pipelined: StartPipelined, **options) -> None:
        super().__init__(manager, **options)
        self.start_pipelined = start_pipelined
        self.is_closing = False
        self.answered = 0
        # What the answers to requests that were started early use until their turn.
        self.held_answers: dict[int, int] = {}
        # Keyed by ``id(message)``; the stored message keeps the id from being reused.
        self.pipelined: dict[int, tuple[RawRequestMessage, asyncio.Task | None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection that was accepted just before the server closed."""
        super().connection_made(transport)
        if self.transport is not None and self._manager.is_closing:
            self.close_when_answered()

    def data_received(self, data: bytes) -> None:
        """Parse the data and start requests that wait behind another one."""
        if self.is_closing and self.last_payload.is_eof():
            # Requests after the answer that closes the connection are not read.
            self._close_if_idle()
            return
        super().data_received(data)
        if self._manager is None or self._manager.budget.is_exceeded:
            # Answers to requests that are started early wait in memory.
            return
        is_idle = self._waiter is not None
        waiting = list(self._messages)[1 if is_idle else 0 :]
        for message, payload in waiting:
            is_request = isinstance(message, RawRequestMessage)
            # At the end of the payload, a body may still wait in it to be read.
            is_complete = payload.is_eof() and payload.exception() is None
            if id(message) in self.pipelined or not is_request or not is_complete:
                continue
            # Reading a payload may resume the connection, and so call this again.
            self.pipelined[id(message)] = message, None
            task = self.start_pipelined(message, payload)
            self.pipelined[id(message)] = message, task
            if task is not None:
                task.add_done_callback(partial(self._hold_answer, id(message)))

    def _hold_answer(self, key: int, task: asyncio.Task) -> None:
        """Count the answer to a request that was started early until its turn."""
        if key in self.pipelined:
            self.held_answers[key] = _answer_bytes(task)
            self.answer_bytes += self.held_answers[key]
            self.charge()

    def connection_lost(self, error: BaseException | None) -> None:
        """Cancel the pipelined requests of a caller that has disconnected."""
        server = self._manager
        super().connection_lost(error)
        if server is not None:
            server.note_progress()
        for _, task in self.pipelined.values():
            if task is not None:
                task.cancel()
        self.pipelined.clear()

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait behind the one that is being answered.

        Some may already run at an endpoint, so the connection must stay open for them.
        """
        return bool(self._messages)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or has no answer yet."""
        return self.transport is not None and self._request_count > self.answered

    def note_answered(self) -> None:
        """Record that the handler has returned the answer to a request."""
        self.answered += 1
        if self._manager is not None:
            self._manager.note_progress()

    def close_when_answered(self) -> None:
        """Stop reading requests, and close once those already begun are answered.

        Otherwise a caller that continues pipelining would keep the connection open.
        """
        self.is_closing = True
        self._close_if_idle()
        if not self.is_busy:
            # The last answer may be complete but not written yet.
            self.close()

    def _close_if_idle(self) -> None:
        is_waiting = self._waiter is not None and not self._messages
        if is_waiting or self._request_count == 0:
            self.force_close()

    def take_pipelined(self, message: RawRequestMessage) -> asyncio.Task | None:
        """Return the task of a pipelined request, or None if it was not started."""
        _, task = self.pipelined.pop(id(message), (message, None))
        self.answer_bytes -= self.held_answers.pop(id(message), 0)
        return task


def _answer_bytes(task: asyncio.Task) -> int:
    if task.cancelled() or task.exception() is not None:
        return 0
    return body_size(task.result())


class PipelinedServer(BoundedServer):
    """A low-level server whose connections are ``PipelinedHandler``."""

    def __init__(self, handler, start_pipelined: StartPipelined, **options) -> None:
        super().__init__(handler, **options)
        self.start_pipelined = start_pipelined
        self.is_closing = False
        # Set and replaced when a request was answered or a connection was lost.
        self.progressed = asyncio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no connection has a request without an answer."""
        while any(connection.is_busy for connection in self.connections):
            progressed = self.progressed
            await progressed.wait()

    def note_progress(self) -> None:
        """Wake the tasks in ``wait_until_idle``."""
        progressed, self.progressed = self.progressed, asyncio.Event()
        progressed.set()

    def close_when_answered(self) -> None:
        """Close each connection, now or later, once its requests are answered."""
        self.is_closing = True
        for connection in self.connections:
            connection.close_when_answered()

    def __call__(self) -> PipelinedHandler:
        """Return the protocol of a new connection."""
        return PipelinedHandler(
            self, self.start_pipelined, loop=self._loop, **self._kwargs
        )
