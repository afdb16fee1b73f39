"""Callers that send requests during failures, and checks of what the endpoints ran."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp

from sesamepost.internal.clock import boottime
from sesamepost.standins.endpoint import EndpointStandIn
from tests.e2e.local import Reply

KEYS = [f"key-{number}" for number in range(40)]
MAX_SUBMISSIONS = 4


@dataclass(slots=True)
class Run:
    """One execution at an endpoint, with times of ``CLOCK_BOOTTIME``."""

    vm: str
    fenced: bool
    key: str
    request_id: str
    epoch: int
    begin: float
    end: float = float("inf")


class RecordingEndpoint(EndpointStandIn):
    """Records when each execution begins and ends."""

    runs: list[Run]

    def _start_execution(self, headers):
        execution = super()._start_execution(headers)
        run = Run(
            self.name,
            self.fenced,
            headers["Sesamepost-Key"],
            headers.get("X-Request-Id", ""),
            int(headers["Sesamepost-Epoch"]),
            boottime(),
        )
        self.runs.append(run)
        asyncio.current_task().run = run
        return execution

    async def _simulate_work(self):
        try:
            await super()._simulate_work()
        finally:
            asyncio.current_task().run.end = boottime()


@dataclass(slots=True)
class Submission:
    """One request of a caller; ``reply`` is None if the connection failed."""

    request_id: str
    key: str
    reply: Reply | None = None


@dataclass(slots=True)
class Traffic:
    """Sends requests until ``stopped`` is set.

    ``groups`` maps each idempotency key to the submissions that used it.
    """

    fleet: object
    random: object
    submissions: list[Submission] = field(default_factory=list)
    groups: dict[str, list[Submission]] = field(default_factory=dict)
    stopped: bool = False

    async def send_plain(self, name):
        number = 0
        while not self.stopped:
            number += 1
            await self._submit(f"{name}-{number}", self.random.choice(KEYS), {})
            await self._pause()

    async def send_idempotent(self, name, has_token):
        """Submit requests until their outcome is known, and resubmit earlier ones.

        Resubmissions that arrive after the loss of an owner detect idempotency records
        that were lost with it.
        """
        sent = []
        while not self.stopped:
            headers = {"Sesamepost_Idempotency_Key": f"{name}-{len(sent)}"}
            token = await self._token() if has_token else None
            if token:
                headers["Sesamepost_Born"] = token
            sent.append((self.random.choice(KEYS), headers))
            for _ in range(MAX_SUBMISSIONS):
                submission = await self._submit_once(*sent[-1])
                if submission.reply and submission.reply.outcome == "ran":
                    break
                await self._pause()
            await self._submit_once(*self.random.choice(sent))
            await self._pause()

    async def _submit_once(self, key, headers):
        name = headers["Sesamepost_Idempotency_Key"]
        group = self.groups.setdefault(name, [])
        submission = await self._submit(f"{name}/{len(group)}", key, headers)
        group.append(submission)
        return submission

    async def _submit(self, request_id, key, headers):
        submission = Submission(request_id, key)
        self.submissions.append(submission)
        timeout = str(self.random.choice((300, 1000, 3000)))
        try:
            submission.reply = await self.fleet.send(
                self.pick_vm(),
                key,
                X_Request_Id=request_id,
                Sesamepost_Timeout_Ms=timeout,
                **headers,
            )
        except (aiohttp.ClientError, ConnectionError):
            submission.reply = None
        return submission

    def pick_vm(self):
        """Return a random VM that is ready, as for callers that check ``/ready``."""
        vms = [vm for vm in self.fleet.vms if not vm.run_task.done()]
        ready = [vm for vm in vms if not vm.daemon.stopping]
        return self.random.choice(ready or vms)

    async def _token(self):
        url = f"{self.pick_vm().callers}/sesamepost/born?service=ledger"
        try:
            async with self.fleet.session.get(url) as answer:
                return answer.headers.get("Sesamepost-Born", "")
        except (aiohttp.ClientError, ConnectionError):
            return ""

    async def _pause(self):
        await asyncio.sleep(self.random.uniform(0.005, 0.03))


def find_violations(traffic, runs):
    """Return all violations in the answers and the executions."""
    by_id = {}
    for run in runs:
        by_id.setdefault(run.request_id, []).append(run)
    violations = [
        f"{request_id} ran {len(same_id)} times: {same_id}"
        for request_id, same_id in by_id.items()
        if len(same_id) > 1 and request_id
    ]
    for item in traffic.submissions:
        violations += _find_answer_violations(item, by_id.get(item.request_id, []))
    for name, group in traffic.groups.items():
        violations += _find_idempotency_violations(name, group, by_id)
    return violations + _find_owner_violations(runs)


def _find_answer_violations(item, runs):
    if item.reply is None:
        return []
    violations = []
    replayed = item.reply.headers.get("Sesamepost-Replayed") == "yes"
    if item.reply.outcome == "not-run" and runs:
        violations.append(f"{item.request_id}: {item.reply.kind} says not run: {runs}")
    if item.reply.kind == "internal":
        violations.append(f"{item.request_id}: internal error {item.reply.body!r}")
    if item.reply.outcome == "ran" and item.reply.status == 200:
        body = json.loads(item.reply.body)
        if body["key"] != item.key:
            violations.append(f"{item.request_id} got the answer of key {body['key']}")
        if not replayed and (body["request_id"] != item.request_id or not runs):
            violations.append(f"{item.request_id} got the answer {body}")
    return violations


def _find_idempotency_violations(name, group, by_id):
    runs = [run for item in group for run in by_id.get(item.request_id, [])]
    violations = []
    if len(runs) > 1:
        violations.append(f"idempotency key {name} ran {len(runs)} times: {runs}")
    for item in group:
        if item.reply is None or item.reply.status != 200:
            continue
        answered_id = json.loads(item.reply.body)["request_id"]
        if [answered_id] != [run.request_id for run in runs]:
            violations.append(f"{item.request_id} got {answered_id}, but ran: {runs}")
    return violations


def _find_owner_violations(runs):
    """Return violations of exclusive ownership.

    Executions of a key must begin in the order of its epochs, and each epoch must
    belong to one VM.
    """
    violations = []
    by_key = {}
    for run in sorted(runs, key=lambda run: run.begin):
        by_key.setdefault(run.key, []).append(run)
    for key_runs in by_key.values():
        for number, run in enumerate(key_runs):
            for earlier in key_runs[:number]:
                if earlier.vm == run.vm:
                    continue
                if earlier.epoch >= run.epoch:
                    violations.append(f"two owners: {earlier} and then {run}")
                # A fenced endpoint may finish work that it began under its grant. An
                # endpoint without a fence must end by the expiry of its daemon's lease.
                elif not earlier.fenced and earlier.end > run.begin:
                    violations.append(f"work overlaps: {earlier} and then {run}")
    return violations
