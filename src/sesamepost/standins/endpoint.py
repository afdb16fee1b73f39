"""A stand-in for an endpoint that owns keys, with configurable faults.

It follows section 12 of ``docs/design.md``. Tests create an ``EndpointStandIn``;
experiments start a process with ``sesamepost-endpoint``. ``POST /control`` changes its
behaviour, ``GET /control`` returns its counters and executions.
"""

import asyncio
import contextlib
import json
import os
import signal
from collections import Counter, deque
from dataclasses import asdict, dataclass, fields

import aiohttp
import defopt
from aiohttp import web

from sesamepost.errors import OUTCOME_HEADER, Outcome
from sesamepost.internal.clock import boottime
from sesamepost.standins.fence import Fence

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
COLD_SLOWDOWN = 3.0
DRAIN_QUIET_S = 3.0
DRAIN_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 9 << 20
# Bounds the memory of load tests, in which every request has a new request id.
MAX_EXECUTIONS = 200_000
STATES = ("cold", "ready", "draining")


@dataclass(slots=True)
class Behaviour:
    """Behaviour that ``POST /control`` can change.

    ``freeze`` stops announcements and responses, like a stopped process.
    ``ignore_deadlines`` continues work after the deadline of its request, and
    ``cut_answers`` closes the connection halfway through each response.
    ``reported_load`` replaces the actual load in announcements; ``report_lag_s`` delays
    the reported load. ``answer_bytes`` is the minimum size of a response body.
    """

    work_ms: float = 0.0
    freeze: bool = False
    ignore_deadlines: bool = False
    cut_answers: bool = False
    shed_all: bool = False
    reported_load: float | None = None
    report_lag_s: float = 0.0
    state: str = "ready"
    answer_bytes: int = 0

    def change(self, values: dict) -> None:
        """Set the named fields; raise ``ValueError`` for an unknown name or state."""
        names = [field.name for field in fields(self)]
        unknown = [name for name in values if name not in names]
        if unknown:
            raise ValueError(f"unknown fields {unknown}; valid fields are {names}")
        if values.get("state", self.state) not in STATES:
            raise ValueError(f"state must be one of {STATES}, not {values['state']}")
        for name, value in values.items():
            setattr(self, name, value)


@dataclass(slots=True)
class Execution:
    """How often the work of one request was started and finished."""

    key: str
    request_id: str
    count: int = 0
    finished: int = 0


class EndpointStandIn:
    """HTTP server on loopback that acts as an endpoint; an async context manager.

    ``announce`` is the base URL of a daemon's port for endpoints, or empty. If
    ``cold_s`` is above 0, the endpoint announces itself as cold for that long, and its
    work takes ``COLD_SLOWDOWN`` times as long in that time.
    """

    def __init__(
        self,
        service: str,
        *,
        port: int = 0,
        announce: str = "",
        slots: int = 6,
        connections: int = 110,
        fenced: bool = True,
        work_ms: float = 0.0,
        cold_s: float = 0.0,
        name: str = "",
    ) -> None:
        if slots < 1 or connections < 1:
            raise ValueError(
                f"slots and connections must be at least 1, not {slots}, {connections}"
            )
        self.service = service
        self.port = port
        self.announce_url = announce.rstrip("/")
        self.slots = slots
        self.connections = connections
        self.fenced = fenced
        self.cold_s = cold_s
        self.name = name
        self.behaviour = Behaviour(
            work_ms=work_ms, state="cold" if cold_s > 0 else "ready"
        )
        self.fence = Fence()
        self.counters: Counter[str] = Counter()
        self.executions: dict[tuple[str, str], Execution] = {}
        self.in_progress = 0
        self.last_started_at = boottime()
        self.drain_started_at: float | None = None
        self.transports: set[asyncio.Transport] = set()
        self.reports: deque[tuple[float, float]] = deque()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.tasks: list[asyncio.Task] = []
        self.runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL for requests and for ``/control``."""
        return f"http://127.0.0.1:{self.port}"

    async def __aenter__(self) -> "EndpointStandIn":
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/control", self._get_control)
        app.router.add_post("/control", self._post_control)
        app.router.add_post("/sesamepost/grant", self._post_grant)
        app.router.add_post("/sesamepost/drain", self._post_drain)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.5
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port, backlog=1024)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.name = self.name or f"{self.service}-{self.port}"
        if self.cold_s > 0:
            self.tasks.append(asyncio.create_task(self._warm_up()))
        if self.announce_url:
            self.tasks.append(asyncio.create_task(self._announce_periodically()))
        return self

    async def __aexit__(self, *error) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.unfrozen.set()
        await self.runner.cleanup()

    def control(self, **values) -> None:
        """Change the behaviour, as ``POST /control`` does."""
        self.behaviour.change(values)
        if self.behaviour.freeze:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()
        if self.behaviour.state != "draining":
            self.drain_started_at = None
        elif self.drain_started_at is None:
            self.drain_started_at = boottime()

    async def drain(
        self, quiet_s: float = DRAIN_QUIET_S, timeout_s: float = DRAIN_TIMEOUT_S
    ) -> None:
        """Announce draining and return once no work has arrived for ``quiet_s``.

        The endpoint keeps serving meanwhile, because its daemon needs time to move its
        partitions away. It waits for at most ``timeout_s``.
        """
        self.control(state="draining")
        await self._announce_once()
        deadline = boottime() + timeout_s
        while boottime() < deadline:
            quiet_for = boottime() - max(self.last_started_at, self.drain_started_at)
            if not self.in_progress and quiet_for >= quiet_s:
                break
            await asyncio.sleep(min(0.1, quiet_s))
        if self.announce_url:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._call_daemon("DELETE", None)

    def status(self) -> dict:
        """Return the counters and executions for ``GET /control``."""
        return {
            "name": self.name,
            "service": self.service,
            "in_progress": self.in_progress,
            "counters": dict(self.counters),
            "behaviour": asdict(self.behaviour),
            "executions": [asdict(item) for item in self.executions.values()],
        }

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._count_connection(request)
        body = await request.read()
        await self.unfrozen.wait()
        received = boottime()
        headers = request.headers
        try:
            deadline = _deadline(headers, received)
            reason = self._refusal_reason(headers, deadline, received)
        except ValueError as error:
            return _not_run(f"invalid header: {error}", 400)
        if reason is not None:
            self.counters["refused"] += 1
            return _not_run(reason)
        execution = self._start_execution(headers)
        has_deadline = deadline is not None and not self.behaviour.ignore_deadlines
        try:
            async with asyncio.timeout(deadline - received if has_deadline else None):
                await self._simulate_work()
        except TimeoutError:
            self.counters["deadlines_passed"] += 1
            return web.Response(
                status=504, text="the deadline passed while the request was running"
            )
        except asyncio.CancelledError:
            self.counters["cancelled"] += 1
            raise
        finally:
            self.in_progress -= 1
        execution.finished += 1
        self.counters["finished"] += 1
        payload = self._build_payload(headers, len(body))
        if self.behaviour.cut_answers:
            return await self._send_truncated(request, payload)
        return web.Response(body=payload, content_type="application/json")

    def _count_connection(self, request: web.Request) -> None:
        self.transports.add(request.transport)
        if len(self.transports) > self.counters["most_connections"]:
            self.transports = {t for t in self.transports if not t.is_closing()}
            self.counters["most_connections"] = max(
                self.counters["most_connections"], len(self.transports)
            )

    def _refusal_reason(
        self, headers, deadline: float | None, now: float
    ) -> str | None:
        if self.behaviour.shed_all:
            return "the control settings shed all requests"
        if self.in_progress >= self.slots:
            self.counters["shed"] += 1
            return f"all {self.slots} slots are in use"
        if deadline is not None and now >= deadline:
            self.counters["expired"] += 1
            return "the deadline passed before the request started"
        if not self.fenced:
            return None
        reason = self.fence.refusal_reason(
            headers.get("Sesamepost-Partition", ""),
            int(headers.get("Sesamepost-Epoch", "0")),
            int(now * 1e9),
        )
        if reason is not None:
            self.counters["fenced_off"] += 1
        return reason

    def _start_execution(self, headers) -> Execution:
        identity = (headers.get("Sesamepost-Key", ""), headers.get("X-Request-Id", ""))
        execution = self.executions.get(identity)
        if execution is None:
            execution = Execution(*identity)
            if len(self.executions) < MAX_EXECUTIONS:
                self.executions[identity] = execution
            else:
                self.counters["executions_not_logged"] += 1
        execution.count += 1
        self.in_progress += 1
        self.counters["begun"] += 1
        self.counters["most_requests"] = max(
            self.counters["most_requests"], self.in_progress
        )
        self.last_started_at = boottime()
        if self.drain_started_at is not None:
            self.counters["begun_while_draining"] += 1
            self.counters["last_begun_ms_after_drain"] = int(
                (self.last_started_at - self.drain_started_at) * 1000
            )
        return execution

    async def _simulate_work(self) -> None:
        slowdown = COLD_SLOWDOWN if self.behaviour.state == "cold" else 1.0
        if self.behaviour.work_ms > 0:
            await asyncio.sleep(self.behaviour.work_ms / 1000 * slowdown)
        await self.unfrozen.wait()

    def _build_payload(self, headers, length: int) -> bytes:
        payload = {
            "service": self.service,
            "key": headers.get("Sesamepost-Key", ""),
            "epoch": int(headers.get("Sesamepost-Epoch", "0")),
            "endpoint": self.name,
            "body_length": length,
            "request_id": headers.get("X-Request-Id", ""),
        }
        return json.dumps(payload).encode().ljust(self.behaviour.answer_bytes)

    async def _send_truncated(self, request: web.Request, payload: bytes):
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(payload)
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
        self.counters["answers_cut"] += 1
        # Let the event loop flush the partial body before the connection is aborted.
        await asyncio.sleep(0)
        request.transport.abort()
        return response

    async def _get_control(self, request: web.Request) -> web.Response:
        return web.json_response(self.status())

    async def _post_control(self, request: web.Request) -> web.Response:
        try:
            self.control(**await request.json())
        except (TypeError, ValueError) as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(asdict(self.behaviour))

    async def _post_grant(self, request: web.Request) -> web.Response:
        await self.unfrozen.wait()
        grant = await request.json()
        accepted = grant["service"] == self.service and self.fence.grant(
            grant["incarnation"], grant["valid_until_ns"]
        )
        self.counters["grants" if accepted else "grants_refused"] += 1
        return web.Response(status=204 if accepted else 409)

    async def _post_drain(self, request: web.Request) -> web.Response:
        await self.unfrozen.wait()
        self.control(state="draining")
        return web.Response(status=204)

    async def _warm_up(self) -> None:
        await asyncio.sleep(self.cold_s)
        if self.behaviour.state == "cold":
            self.control(state="ready")

    async def _announce_periodically(self) -> None:
        while True:
            await self.unfrozen.wait()
            await self._announce_once()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self) -> None:
        if not self.announce_url:
            return
        report = {
            "url": self.url,
            "fenced": self.fenced,
            "slots": self.slots,
            "connections": self.connections,
            "state": self.behaviour.state,
            "load": self._reported_load(boottime()),
        }
        try:
            await self._call_daemon("PUT", report)
        except (aiohttp.ClientError, TimeoutError):
            self.counters["announcements_failed"] += 1
        else:
            self.counters["announcements"] += 1

    async def _call_daemon(self, method: str, report: dict | None) -> None:
        url = f"{self.announce_url}/v1/endpoints/{self.service}"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as session,
            session.request(method, url, json=report),
        ):
            return

    def _reported_load(self, now: float) -> float:
        """Return the share of slots in use, with the configured lag or override."""
        self.reports.append((now, self.in_progress / self.slots))
        newest_allowed = now - self.behaviour.report_lag_s
        while len(self.reports) > 1 and self.reports[1][0] <= newest_allowed:
            self.reports.popleft()
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        return self.reports[0][1]


def _deadline(headers, now: float) -> float | None:
    """Return the earlier of the two deadlines, in seconds of ``CLOCK_BOOTTIME``."""
    deadlines = []
    if "Sesamepost-Timeout-Ms" in headers:
        deadlines.append(now + int(headers["Sesamepost-Timeout-Ms"]) / 1000)
    if "Sesamepost-Expires-Boottime-Ns" in headers:
        deadlines.append(int(headers["Sesamepost-Expires-Boottime-Ns"]) / 1e9)
    return min(deadlines, default=None)


def _not_run(reason: str, status: int = 503) -> web.Response:
    return web.Response(
        status=status, text=reason, headers={OUTCOME_HEADER: Outcome.NOT_RUN}
    )


async def serve_until_sigterm(
    endpoint: EndpointStandIn, drain_quiet_s: float = DRAIN_QUIET_S
) -> None:
    """Run ``endpoint`` and drain it on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with endpoint:
        print(f"ready {endpoint.service} {endpoint.url}", flush=True)
        await stop.wait()
        await endpoint.drain(drain_quiet_s)


def run_endpoint(
    *,
    service: str,
    port: int = 0,
    announce: str = "",
    slots: int = 6,
    connections: int = 110,
    fenced: bool = True,
    work_ms: float = 0.0,
    cold_s: float = 0.0,
    drain_quiet_s: float = DRAIN_QUIET_S,
) -> None:
    """Run a stand-in endpoint on loopback until SIGTERM.

    :param service: name of the service to which it belongs
    :param port: port to listen on; 0 chooses a free one
    :param announce: base URL of a daemon's port for endpoints
    :param slots: number of requests that it runs concurrently
    :param connections: connections that it announces as its limit
    :param fenced: check epochs and grants
    :param work_ms: time that each request takes
    :param cold_s: time after the start during which it is cold
    :param drain_quiet_s: time without new work after which a draining endpoint stops
    """

    async def run() -> None:
        await serve_until_sigterm(
            EndpointStandIn(
                service,
                port=port,
                announce=announce,
                slots=slots,
                connections=connections,
                fenced=fenced,
                work_ms=work_ms,
                cold_s=cold_s,
            ),
            drain_quiet_s,
        )

    # The platform forbids io_uring; libuv reads this variable when it is loaded.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.run(run())


def main() -> None:
    """Entry point of ``sesamepost-endpoint``."""
    defopt.run(run_endpoint)


if __name__ == "__main__":
    main()
