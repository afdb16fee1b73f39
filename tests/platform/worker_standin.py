"""A stand-in for an application worker that is granted key ranges."""

import asyncio
import itertools
import time
from contextlib import suppress
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

HEARTBEAT_S = 0.3
# The next heartbeat after an answer that left out a held range.
RELEASE_HEARTBEAT_S = 0.05
START_TIMES_MS = itertools.count(1_700_000_000_000)


@dataclass
class Record:
    """Events seen by all workers of a test, which fails if ``problems`` is not empty.

    ``holders`` maps each probed key to the worker, the end of its hold and the highest
    fence. ``runs`` maps each request to the workers that executed it.
    """

    holders: dict[int, tuple[str, float, int]] = field(default_factory=dict)
    runs: dict[str, list[str]] = field(default_factory=dict)
    handovers: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    probed_keys: tuple[int, ...] = (0, 9000, 20000, 33000, 45000, 60000, 65535)

    def note_grant(self, worker: str, first: int, last: int, fence: int, end: float):
        """Record a grant and report a conflict with another worker's hold."""
        now = time.monotonic()
        for key in self.probed_keys:
            if not first <= key <= last:
                continue
            holder, until, highest_fence = self.holders.get(key, ("", 0.0, 0))
            if holder not in ("", worker) and until > now:
                self.problems.append(f"{worker} was granted {key}, held by {holder}")
            if holder not in ("", worker) and fence <= highest_fence:
                self.problems.append(
                    f"{worker} was granted {key} with the old fence {fence}"
                )
            self.holders[key] = worker, end, max(fence, highest_fence)

    def note_release(self, worker: str, first: int, last: int) -> None:
        """Record that a worker no longer holds these keys."""
        for key in self.probed_keys:
            holder, _, highest_fence = self.holders.get(key, ("", 0.0, 0))
            if first <= key <= last and holder == worker:
                self.holders[key] = worker, 0.0, highest_fence


class WorkerStandin:
    """One incarnation of the worker beside the node at ``ip``."""

    def __init__(self, ip: str, ports: dict, service: str, record: Record) -> None:
        self.ip = ip
        self.ports = ports
        self.listening_port = ports["worker"]
        self.service = service
        self.record = record
        self.id = f"i-{ip}-{next(START_TIMES_MS)}"
        self.born = next(START_TIMES_MS)
        self.state = "ready"
        self.sequence = 0
        self.holds: list[tuple[int, int, int, float]] = []
        self.needs_hold = service == "keyed"
        self.work_s = 0.01
        self.heartbeat_task: asyncio.Task | None = None
        self.runner: web.AppRunner | None = None

    async def __aenter__(self) -> "WorkerStandin":
        app = web.Application()
        app.router.add_post("/grant", self._grant)
        app.router.add_post("/release", self._release)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._request)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.ip, self.listening_port).start()
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *error) -> None:
        self.heartbeat_task.cancel()
        await self.runner.cleanup()

    async def _send_heartbeats(self) -> None:
        url = f"http://{self.ip}:{self.ports['control']}/Instances.Heartbeat/{self.id}"
        async with aiohttp.ClientSession() as session:
            while True:
                self.sequence += 1
                pause_s = HEARTBEAT_S
                with suppress(aiohttp.ClientError, TimeoutError):
                    timeout = aiohttp.ClientTimeout(total=1)
                    sent_at = time.monotonic()
                    body = self._heartbeat()
                    async with session.post(url, json=body, timeout=timeout) as answer:
                        pause_s = self._take_answer(await answer.json(), sent_at)
                await asyncio.sleep(pause_s)

    def _heartbeat(self) -> dict:
        return {
            "address": f"{self.ip}:{self.ports['worker']}",
            "born": self.born,
            "serviceInfo": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": 4,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingS": 0,
            },
        }

    def _take_answer(self, answer: dict, sent_at: float) -> float:
        """Process the answer to a heartbeat; return the seconds until the next one."""
        return HEARTBEAT_S

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        first, last, fence = body["from"], body["target"], body["fence"]
        for begin, end, held_fence, _ in self.holds:
            if begin <= last and first <= end and held_fence > fence:
                return web.Response(status=409)
        until = time.monotonic() + body["holdS"]
        if body.get("handover"):
            self.record.handovers.append(body["handover"])
        self.record.note_grant(self.id, first, last, fence, until)
        self.holds.append((first, last, fence, until))
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        body = await request.json()
        first, last = body["from"], body["target"]
        self.holds = [self._shrink_hold(hold, first, last) for hold in self.holds]
        await asyncio.sleep(self.work_s)
        self.record.note_release(self.id, first, last)
        return web.Response(headers={"Handover": f"token-{self.id}-{first}"})

    @staticmethod
    def _shrink_hold(hold, first: int, last: int):
        begin, end, fence, until = hold
        if first <= begin and end <= last:
            return begin, end, fence, 0.0
        if begin < first <= end:
            return begin, first - 1, fence, until
        if begin <= last < end:
            return last + 1, end, fence, until
        return hold

    async def _health(self, request: web.Request) -> web.Response:
        status = 200 if self.state == "ready" else 503
        return web.Response(status=status, headers={"Instance-Id": self.id})

    async def _request(self, request: web.Request) -> web.Response:
        request_id = request.headers["Request-Id"]
        headers = {"Request-Id": request_id}
        if request.headers.get("Expected-Instance") != self.id:
            return web.Response(status=421, headers={**headers, "Not-Executed": "1"})
        if self.needs_hold and not self._holds(int(request.headers["Shard-Key"])):
            return web.Response(status=421, headers={**headers, "Not-Executed": "1"})
        self.record.runs.setdefault(request_id, []).append(self.id)
        body = await request.read()
        await asyncio.sleep(self.work_s)
        headers["Response-Seal"] = f"seal-{request_id}"
        caller = request.headers["Caller-Service"]
        text = f"{request.method} {request.rel_url} {caller} {body.decode()}"
        return web.Response(text=text, headers=headers)

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(f <= key <= last and end > now for f, last, _, end in self.holds)


class HeartbeatWorkerStandin(WorkerStandin):
    """A worker that takes its keys only with the answers to its heartbeats."""

    def __init__(self, ip: str, ports: dict, service: str, record: Record) -> None:
        super().__init__(ip, ports, service, record)
        self.released: list[tuple[int, int, str]] = []

    def _heartbeat(self) -> dict:
        now = time.monotonic()
        self.holds = [hold for hold in self.holds if hold[3] > now]
        held = [list(hold[:3]) for hold in self.holds]
        return {**super()._heartbeat(), "holds": held, "released": self.released}

    def _take_answer(self, answer: dict, sent_at: float) -> float:
        self.released = []
        if "holds" not in answer:
            return HEARTBEAT_S
        until = sent_at + answer["holdS"]
        before, self.holds = self.holds, []
        for first, last, fence, handover in answer["holds"]:
            if handover:
                self.record.handovers.append(handover)
            self.record.note_grant(self.id, first, last, fence, until)
            self.holds.append((first, last, fence, until))
        for first, last, _, _ in before:
            for begin, end in self._gaps(first, last):
                self.record.note_release(self.id, begin, end)
                self.released.append((begin, end, f"token-{self.id}-{begin}"))
        return RELEASE_HEARTBEAT_S if self.released else HEARTBEAT_S

    def _gaps(self, first: int, last: int) -> list[tuple[int, int]]:
        """Return the parts of a range that are no longer held."""
        gaps = []
        for begin, end, _, _ in sorted(self.holds):
            if end < first or last < begin:
                continue
            if first < begin:
                gaps.append((first, begin - 1))
            first = max(first, end + 1)
        if first <= last:
            gaps.append((first, last))
        return gaps

    async def _grant(self, request: web.Request) -> web.Response:
        self.record.problems.append(f"{self.id} cannot take the call {request.path}")
        return web.Response(status=400)

    _release = _grant
