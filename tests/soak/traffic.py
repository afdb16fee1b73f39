"""Callers that never retry a request and record the outcome of each one."""

import asyncio
import itertools
import random
from dataclasses import dataclass

import aiohttp

from tests.platform.fleet import Fleet

MEAN_PAUSE_S = 0.04
RESPONSE_TIMEOUT_S = 4.0
DEADLINE_MS = 1500
# Statuses that guarantee that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
REQUEST_IDS = itertools.count(1)


@dataclass(slots=True)
class Outcome:
    """One request and its result; status 0 means that no answer arrived."""

    request_id: str
    node: int
    method: str
    path: str
    body: str
    began: float
    ended: float = 0.0
    status: int = 0
    seal: str = ""
    text: str = ""
    error: str = ""

    def expected_text(self, caller: str) -> str:
        """Return the text with which a worker answers this request."""
        return f"{self.method} {self.path} {caller} {self.body}"


class Traffic:
    """Sends keyed and unkeyed requests to all nodes until it is stopped."""

    def __init__(self, fleet: Fleet, seed: int, callers: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.callers = callers
        self.outcomes: list[Outcome] = []
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the callers."""
        for index in range(self.callers):
            self.tasks.append(
                asyncio.create_task(self._run_caller(index % self.fleet.count))
            )

    async def stop(self) -> None:
        """Cancel all callers and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run_caller(self, node: int) -> None:
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # Each attempt is checked, so the client must not retry on its own.
            session._retry_connection = False
            while True:
                outcome = self._next_request(node, loop.time())
                try:
                    await self._send(session, outcome)
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    outcome.error = repr(error)
                outcome.ended = loop.time()
                self.outcomes.append(outcome)
                await asyncio.sleep(MEAN_PAUSE_S * (0.5 + self.random.random()))

    def _next_request(self, node: int, now: float) -> Outcome:
        request_id = f"s-{next(REQUEST_IDS)}"
        if self.random.random() < 0.5:
            return Outcome(request_id, node, "GET", f"/k/{request_id}", "", now)
        return Outcome(request_id, node, "POST", f"/p/{request_id}", request_id, now)

    async def _send(self, session: aiohttp.ClientSession, outcome: Outcome) -> None:
        fleet = self.fleet
        headers = {
            "Host": "app.example",
            "Request-Id": outcome.request_id,
            "Deadline-Milliseconds": str(DEADLINE_MS),
        }
        if outcome.method == "GET":
            key = self.random.choice(fleet.record.probed_keys)
            headers["Shard-Key"] = str(key)
        url = f"http://{fleet.ip(outcome.node)}:{fleet.ports['callers']}{outcome.path}"
        async with session.request(
            outcome.method, url, headers=headers, data=outcome.body or None
        ) as answer:
            outcome.status = answer.status
            outcome.seal = answer.headers.get("Response-Seal", "")
            outcome.text = await answer.text()


def find_violations(fleet: Fleet, outcomes: list[Outcome]) -> list[str]:
    """Return the violated guarantees that callers or workers observed."""
    violations = list(fleet.record.problems)
    for outcome in outcomes:
        runs = fleet.record.runs.get(outcome.request_id, [])
        label = f"{outcome.request_id} at node {outcome.node}"
        if outcome.method == "POST" and len(runs) > 1:
            violations.append(f"{label} ran {len(runs)} times: {runs}")
        if outcome.method == "POST" and runs and outcome.status in NOT_RUN:
            violations.append(f"{label} was answered {outcome.status} and ran")
        if outcome.status != 200:
            continue
        if outcome.seal != f"seal-{outcome.request_id}":
            violations.append(f"{label} got the seal {outcome.seal!r}")
        if outcome.text != outcome.expected_text(fleet.service(outcome.node)):
            violations.append(f"{label} got the answer {outcome.text!r}")
    return violations
