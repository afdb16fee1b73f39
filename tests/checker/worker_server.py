"""A worker of the checker as a process that serves HTTP/1.1 calls."""

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from tests.checker.worker import Worker
from tests.checker.worker_protocol import Call, WorkerProtocol

GRANT_FIELDS = ("from", "target", "fence", "holdS")


@dataclass(frozen=True, slots=True)
class Prompt:
    """Commands are carried out and answered at once."""


@dataclass(frozen=True, slots=True)
class LateAnswer:
    """Commands are carried out at once and answered ``delay_s`` later."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Commands are carried out at once and never answered."""


@dataclass(frozen=True, slots=True)
class LateExecution:
    """Commands are carried out ``delay_s`` after their arrival and never answered.

    The time of a hold counts from the arrival of its grant.
    """

    delay_s: float


@dataclass(frozen=True, slots=True)
class Ignored:
    """Commands are neither carried out nor answered."""


CommandFault = Prompt | LateAnswer | NoAnswer | LateExecution | Ignored


class WorkerServer:
    """Serves a worker; the attributes may be changed at any time.

    ``max_connections`` is the number of open connections beyond which further ones are
    reset. A connection without a request for ``idle_timeout_s`` is closed. A request
    ends after ``work_s`` seconds of work, or with ``finish`` if that is None.
    """

    def __init__(self, worker: Worker, loop: asyncio.AbstractEventLoop) -> None:
        self.worker = worker
        self.loop = loop
        self.grant_fault: CommandFault = Prompt()
        self.release_fault: CommandFault = Prompt()
        self.health_fault: CommandFault = Prompt()
        self.max_connections: int | None = None
        self.idle_timeout_s: float | None = None
        self.health_path = "/health"
        self.work_s: float | None = 0.01
        # What ends each request at work.
        self.ends: dict[str, Callable[[], None]] = {}
        self.is_frozen = False
        self.connections: set[WorkerProtocol] = set()
        # What the process would have done while it was frozen, in order.
        self.held_back: list[Callable[[], None]] = []

    def protocol(self) -> "WorkerProtocol":
        """Return the protocol of a new connection."""
        return WorkerProtocol(self)

    def freeze(self) -> None:
        """Stop the process; calls that arrive wait for ``thaw``."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Let the process go on."""
        self.is_frozen = False
        waiting, self.held_back = self.held_back, []
        for step in waiting:
            step()

    def crash(self) -> None:
        """End the process: end the life of the worker and reset all connections."""
        self.worker.end_life()
        self.held_back = []
        for connection in list(self.connections):
            connection.transport.abort()

    def execute(
        self, connection: "WorkerProtocol", call: Call, arrived_at: float
    ) -> None:
        """Carry out a complete request."""
        match call.method, call.path:
            case "POST", "/grant":
                fault = self.grant_fault
                command = partial(self._grant, connection, call, arrived_at)
            case "POST", "/release":
                fault = self.release_fault
                command = partial(self._release, connection, call)
            case "GET", self.health_path:
                fault = self.health_fault
                command = partial(self._health, connection)
            case _:
                fault = Prompt()
                command = partial(self._request, connection, call)
        match fault:
            case LateAnswer(delay_s):
                connection.answer_delay_s = delay_s
            case NoAnswer() | LateExecution() | Ignored():
                connection.is_silent = True
        match fault:
            case LateExecution(delay_s):
                self.loop.call_later(delay_s, self.run, command)
            case Prompt() | LateAnswer() | NoAnswer():
                self.run(command)

    def run(self, step: Callable[[], None]) -> None:
        """Run a step of the process, once it is thawed if it is frozen."""
        if self.worker.has_ended:
            return
        if self.is_frozen:
            self.held_back.append(step)
            return
        step()

    def _grant(
        self, connection: "WorkerProtocol", call: Call, arrived_at: float
    ) -> None:
        try:
            body = json.loads(call.body)
            first, last, fence, hold_s = (body[name] for name in GRANT_FIELDS)
        except (ValueError, KeyError, TypeError):
            connection.answer(400)
            return
        handover = body.get("handover", "")
        status = self.worker.grant(first, last, fence, hold_s, handover, arrived_at)
        connection.answer(status)

    def _release(self, connection: "WorkerProtocol", call: Call) -> None:
        if self.worker.by_heartbeat:
            connection.answer(400)
            return
        try:
            body = json.loads(call.body)
            first, last, fence = body["from"], body["target"], body["fence"]
        except (ValueError, KeyError, TypeError):
            connection.answer(400)
            return
        release = self.worker.release(first, last, fence)
        if release.handover:
            connection.answer(200, {"Handover": release.handover})
            return
        release.on_ready = lambda handover: connection.answer(
            200, {"Handover": handover}
        )
        self._expire_later()

    def _expire_later(self) -> None:
        """End work in time that a release waits for and that outlasts its hold."""
        wait_s = self.worker.next_expiry() - self.worker.now()
        if self.worker.releases and wait_s < math.inf:
            self.loop.call_later(max(0.0, wait_s), self.run, self._expire)

    def _expire(self) -> None:
        self.worker.expire()
        self._expire_later()

    def _health(self, connection: "WorkerProtocol") -> None:
        status = 200 if self.worker.state == "ready" else 503
        connection.answer(status, {"Instance-Id": self.worker.id})

    def _request(self, connection: "WorkerProtocol", call: Call) -> None:
        headers = call.headers
        request_id = headers.get("request-id", "")
        key = headers.get("shard-key", "")
        status = self.worker.begin(
            request_id,
            int(key) if key.isdigit() else None,
            headers.get("expected-instance"),
        )
        if status != 200:
            connection.answer(status, {"Request-Id": request_id, "Not-Executed": "1"})
            return
        connection.at_work = request_id
        self.ends[request_id] = partial(self._end, connection, request_id, call)
        if self.work_s is not None:
            self.loop.call_later(
                self.work_s, self.run, partial(self.finish, request_id)
            )

    def finish(self, request_id: str) -> None:
        """End the work on a request, unless that was dropped, and answer it."""
        end = self.ends.pop(request_id, None)
        if end is not None:
            end()

    def drop(self, request_id: str) -> None:
        """End the work on a request whose connection was closed."""
        if self.ends.pop(request_id, None) is not None:
            self.run(partial(self.worker.end, request_id))

    def _end(self, connection: "WorkerProtocol", request_id: str, call: Call) -> None:
        connection.at_work = ""
        status = self.worker.end(request_id)
        headers = {"Request-Id": request_id}
        body = ""
        if status == 200:
            headers["Response-Seal"] = f"seal-{request_id}"
            caller = call.headers.get("caller-service", "")
            body = f"{call.method} {call.path} {caller} {call.body.decode()}"
        connection.answer(status, headers, body.encode())
