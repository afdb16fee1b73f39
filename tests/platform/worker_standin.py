"""A stand-in for an application worker that is granted key ranges."""

import asyncio
import itertools
import time
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import UTC, datetime
from enum import Enum

import aiohttp
from aiohttp import web

from sesamepost.internal.ranges.table import LAST_KEY, uncovered

HEARTBEAT_S = 0.3
# Nodes give up an unanswered grant earlier.
UNANSWERED_S = 30.0
# How often a release looks whether requests are still at work on its keys.
WORK_CHECK_S = 0.005
# The next heartbeat after an answer that left out a held range.
RELEASE_HEARTBEAT_S = 0.05
START_TIMES_MS = itertools.count(1_700_000_000_000)


class GrantFault(Enum):
    """A fault of the answers to grants; each grant is carried out in all cases."""

    NONE = "none"
    LATE_ANSWER = "late_answer"
    NO_ANSWER = "no_answer"
    # Carried out late, without an answer. The hold counts from the arrival.
    CARRIED_OUT_LATE = "carried_out_late"


@dataclass(slots=True)
class Work:
    """A request at work, which may last until ``until``, when its hold ends."""

    key: int
    until: float


@dataclass
class Record:
    """Events seen by all workers of a test, which fails if ``problems`` is not empty.

    Grants are recorded for each life of a worker, since another life under the same id
    counts as another worker. ``fences`` maps each judged key to the highest fence with
    which each life has had it, ``hold_ends`` to the end of the hold of each life. A
    life that has ended holds nothing, but its fences still count. ``runs`` maps each
    request to the workers that executed it. ``events`` lists the lives and their grants
    with the time of day, so that they can be compared with the logs of the nodes.
    """

    fences: dict[int, dict[str, int]] = field(default_factory=dict)
    hold_ends: dict[int, dict[str, float]] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)
    runs: dict[str, list[str]] = field(default_factory=dict)
    handovers: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    noted: set[str] = field(default_factory=set)
    probed_keys: tuple[int, ...] = (0, 9000, 20000, 33000, 45000, 60000, 65535)
    # Requests are sent for the probed keys only, but ranges without any move as well.
    judged_keys: tuple[int, ...] = (*range(0, 1 << 16, 512), 65535)

    def note_grant(self, life: str, first: int, last: int, fence: int, end: float):
        """Record a grant; report a hold of another life and a fence not above all."""
        if life in self.ended:
            return
        self.note_once(f"{life} takes {first}-{last} with fence {fence}")
        now = time.monotonic()
        for key in self.judged_keys:
            if not first <= key <= last:
                continue
            hold_ends = self.hold_ends.setdefault(key, {})
            for other, until in hold_ends.items():
                if other != life and until > now:
                    self._report(f"{life} was granted {first}-{last}, held by {other}")
            fences = self.fences.setdefault(key, {})
            for other, other_fence in fences.items():
                if other != life and fence <= other_fence:
                    self._report(
                        f"{life} was granted {first}-{last} with the old fence "
                        f"{fence}; {other} had keys of it with fence {other_fence}"
                    )
            hold_ends[life] = max(end, hold_ends.get(life, end))
            fences[life] = max(fence, fences.get(life, fence))

    def note_release(self, life: str, first: int, last: int) -> None:
        """Record that a life of a worker no longer holds these keys."""
        self.note(f"{life} releases {first}-{last}")
        for key, hold_ends in self.hold_ends.items():
            if first <= key <= last:
                hold_ends.pop(life, None)

    def note_end(self, life: str) -> None:
        """Record that a life of a worker has ended, which ends its holds."""
        self.note(f"{life} has ended")
        self.ended.add(life)
        for hold_ends in self.hold_ends.values():
            hold_ends.pop(life, None)

    def note(self, event: str) -> None:
        """Append an event with the time of day."""
        now = datetime.now(UTC).isoformat(timespec="milliseconds")
        self.events.append(f"{now} {event}")

    def note_once(self, event: str) -> None:
        """Append an event unless it has occurred before, as with renewals."""
        if event not in self.noted:
            self.noted.add(event)
            self.note(event)

    def _report(self, problem: str) -> None:
        # Each renewal of a wrong grant is the same problem.
        if problem not in self.problems:
            self.problems.append(problem)
            self.note(f"PROBLEM: {problem}")


class WorkerStandin:
    """One incarnation of the worker beside the node at ``ip``.

    It sends its first heartbeat ``first_heartbeat_s`` after it listens.
    """

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
        self.heartbeat_interval_s = HEARTBEAT_S
        self.first_heartbeat_s = 0.0
        self.grant_fault = GrantFault.NONE
        self.grant_delay_s = 0.0
        self.holds: list[tuple[int, int, int, float]] = []
        # First key, last key and fence of all grants that were accepted.
        self.seen_fences: set[tuple[int, int, int]] = set()
        # The bodies of the grants that are carried out late, and the ends of their
        # holds.
        self.late_grants: list[tuple[dict, float]] = []
        self.needs_hold = service == "keyed"
        # The requests at work by their ids.
        self.at_work: dict[str, Work] = {}
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
        self.record.note(f"{self.life} listens")
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *error) -> None:
        self.heartbeat_task.cancel()
        await self.runner.cleanup()

    @property
    def life(self) -> str:
        """The id and the start of this incarnation, which no other one shares."""
        return f"{self.id}, born {self.born}"

    async def crash(self) -> None:
        """End at once: reset all connections and answer nothing more."""
        self.record.note_end(self.life)
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.__aexit__()

    def next_heartbeat(self) -> tuple[str, dict]:
        """Return the URL and the body of the next heartbeat."""
        self.sequence += 1
        url = f"http://{self.ip}:{self.ports['control']}/Instances.Heartbeat/{self.id}"
        return url, self._heartbeat()

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.first_heartbeat_s)
        async with aiohttp.ClientSession() as session:
            while True:
                pause_s = self.heartbeat_interval_s
                with suppress(aiohttp.ClientError, TimeoutError):
                    timeout = aiohttp.ClientTimeout(total=1)
                    sent_at = time.monotonic()
                    url, body = self.next_heartbeat()
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
        return self.heartbeat_interval_s

    async def _grant(self, request: web.Request) -> web.Response:
        try:
            body = await request.json()
        except ValueError:
            body = None
        if not _is_valid_grant(body):
            return web.Response(status=400)
        until = time.monotonic() + body["holdS"]
        fault, delay_s = self.grant_fault, self.grant_delay_s
        if fault is GrantFault.CARRIED_OUT_LATE:
            self.late_grants.append((body, until))
            await asyncio.sleep(delay_s)
        status = self.carry_out_grant(body, until)
        if fault is GrantFault.LATE_ANSWER:
            await asyncio.sleep(delay_s)
        elif fault is not GrantFault.NONE and request.transport is not None:
            await asyncio.sleep(UNANSWERED_S)
        return web.Response(status=status)

    def carry_out_grant(self, body: dict, until: float) -> int:
        """Take the keys until ``until`` and return the status of the answer."""
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.has_seen_higher(first, last, fence):
            return 409
        self.seen_fences.add((first, last, fence))
        if body.get("handover"):
            self.record.handovers.append(body["handover"])
        if until > time.monotonic():
            self.record.note_grant(self.life, first, last, fence, until)
            self.holds.append((first, last, fence, until))
            self._extend_work(first, last, until)
        return 200

    def has_seen_higher(self, first: int, last: int, fence: int) -> bool:
        """Return whether a grant of any of these keys had a higher fence."""
        return any(
            begin <= last and first <= end and seen_fence > fence
            for begin, end, seen_fence in self.seen_fences
        )

    def _extend_work(self, first: int, last: int, until: float) -> None:
        """Let the work on these keys last as long as their new hold."""
        now = time.monotonic()
        for work in self.at_work.values():
            if first <= work.key <= last and work.until > now:
                work.until = max(work.until, until)

    def is_at_work(self, first: int, last: int) -> bool:
        """Return whether requests on these keys run, and have not lost their hold."""
        now = time.monotonic()
        return any(
            first <= work.key <= last and work.until > now
            for work in self.at_work.values()
        )

    async def _release(self, request: web.Request) -> web.Response:
        body = await request.json()
        first, last = body["from"], body["target"]
        self.holds = [
            part for hold in self.holds for part in self._without(hold, first, last)
        ]
        while self.is_at_work(first, last):  # noqa: ASYNC110
            await asyncio.sleep(WORK_CHECK_S)
        self.record.note_release(self.life, first, last)
        return web.Response(headers={"Handover": f"token-{self.id}-{first}"})

    @staticmethod
    def _without(hold, first: int, last: int) -> list[tuple[int, int, int, float]]:
        """Return the parts of a hold outside of the keys that are released."""
        begin, end, fence, until = hold
        if end < first or last < begin:
            return [hold]
        parts = ((begin, first - 1), (last + 1, end))
        return [(b, e, fence, until) for b, e in parts if b <= e]

    async def _health(self, request: web.Request) -> web.Response:
        status = 200 if self.state == "ready" else 503
        return web.Response(status=status, headers={"Instance-Id": self.id})

    async def _request(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id}
        refused = {**headers, "Not-Executed": "1"}
        if not request_id:
            return web.Response(status=400, headers=refused)
        if request.headers.get("Expected-Instance") != self.id:
            return web.Response(status=421, headers=refused)
        work = Work(-1, float("inf"))
        if self.needs_hold:
            key = int(request.headers["Shard-Key"])
            work = Work(key, self.held_until(key))
            if work.until <= time.monotonic():
                return web.Response(status=421, headers=refused)
        self.record.runs.setdefault(request_id, []).append(self.id)
        body = await request.read()
        self.at_work[request_id] = work
        try:
            await self._work(request_id)
        finally:
            del self.at_work[request_id]
        if work.until <= time.monotonic():
            return web.Response(status=500, headers=headers)
        headers["Response-Seal"] = f"seal-{request_id}"
        caller = request.headers["Caller-Service"]
        text = f"{request.method} {request.rel_url} {caller} {body.decode()}"
        return web.Response(text=text, headers=headers)

    async def _work(self, request_id: str) -> None:
        """Work on a request until it can be answered."""
        await asyncio.sleep(self.work_s)

    def held_until(self, key: int) -> float:
        """Return the end of the longest hold of a key; 0 if there is none."""
        ends = [end for first, last, _, end in self.holds if first <= key <= last]
        return max(ends, default=0.0)

    def holds_key(self, key: int) -> bool:
        """Return whether the worker holds a key now."""
        return self.held_until(key) > time.monotonic()


class HeartbeatWorkerStandin(WorkerStandin):
    """A worker that takes its keys only with the answers to its heartbeats."""

    def __init__(self, ip: str, ports: dict, service: str, record: Record) -> None:
        super().__init__(ip, ports, service, record)
        self.released: list[tuple[int, int, str]] = []
        # First key, last key and fence of released ranges with requests at work.
        self.finishing: list[tuple[int, int, int]] = []

    def _heartbeat(self) -> dict:
        now = time.monotonic()
        self.holds = [hold for hold in self.holds if hold[3] > now]
        self._note_finished()
        held = [list(hold[:3]) for hold in self.holds]
        held += [list(part) for part in self.finishing]
        return {**super()._heartbeat(), "holds": held, "released": self.released}

    def _note_finished(self) -> None:
        """Report the released ranges on which no request is at work any longer."""
        for part in list(self.finishing):
            first, last, _ = part
            if self.is_at_work(first, last):
                continue
            self.finishing.remove(part)
            self.record.note_release(self.life, first, last)
            self.released.append((first, last, f"token-{self.id}-{first}"))

    def _take_answer(self, answer: dict, sent_at: float) -> float:
        self.released = []
        if "holds" not in answer:
            return self.heartbeat_interval_s
        until = sent_at + answer["holdS"]
        now = time.monotonic()
        before = [hold for hold in self.holds if hold[3] > now]
        self.holds = []
        for first, last, fence, handover in answer["holds"]:
            if self.has_seen_higher(first, last, fence):
                self.holds += _within(before, first, last)
                continue
            self.seen_fences.add((first, last, fence))
            if handover:
                self.record.handovers.append(handover)
            self.record.note_grant(self.life, first, last, fence, until)
            self.holds.append((first, last, fence, until))
            self._extend_work(first, last, until)
        ordered = [(first, last) for first, last, _, _ in answer["holds"]]
        for first, last, fence, _ in before:
            gaps = uncovered(first, last, ordered)
            self.finishing += [(begin, end, fence) for begin, end in gaps]
        return RELEASE_HEARTBEAT_S if self.finishing else self.heartbeat_interval_s

    async def _grant(self, request: web.Request) -> web.Response:
        self.record.problems.append(f"{self.id} cannot take the call {request.path}")
        return web.Response(status=400)

    _release = _grant


def _is_valid_grant(body: object) -> bool:
    """Return whether a grant has all its fields with values of the right kind."""
    if not isinstance(body, dict):
        return False
    keys = [body.get(name) for name in ("from", "target", "fence")]
    hold_s = body.get("holdS")
    if any(type(key) is not int for key in keys):
        return False
    if type(hold_s) not in (int, float) or hold_s <= 0:
        return False
    first, last, fence = keys
    return 0 <= first <= last <= LAST_KEY and fence >= 0


def _within(
    holds: list[tuple[int, int, int, float]], first: int, last: int
) -> list[tuple[int, int, int, float]]:
    """Return the parts of holds that are within a range."""
    return [
        (max(begin, first), min(end, last), fence, until)
        for begin, end, fence, until in holds
        if begin <= last and first <= end
    ]
