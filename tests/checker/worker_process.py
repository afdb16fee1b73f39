"""A worker's process in the checker: one life of a worker and its heartbeats."""

import asyncio
import json
from contextlib import suppress
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from tests.checker.loop import Process, VirtualLoop
from tests.checker.network import Listener
from tests.checker.node_process import SERVICE, WORKER_PORT
from tests.checker.worker import Worker
from tests.checker.worker_server import CommandFault, Prompt, WorkerServer

if TYPE_CHECKING:
    from tests.checker.fleet import Machine

HEARTBEAT_INTERVAL_S = 0.87
# A worker that has released keys reports that soon.
PROMPT_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 1.0


class PartlyFaultyServer(WorkerServer):
    """Applies ``next_grant_fault`` to a share of the grants."""

    def __init__(self, worker: Worker, loop: VirtualLoop, random: Random) -> None:
        self.random = random
        self.next_grant_fault: CommandFault = Prompt()
        self.faulty_share = 1.0
        super().__init__(worker, loop)

    @property
    def grant_fault(self) -> CommandFault:
        """The fault of the next grant."""
        is_faulty = self.random.random() < self.faulty_share
        return self.next_grant_fault if is_faulty else Prompt()

    @grant_fault.setter
    def grant_fault(self, fault: CommandFault) -> None:
        self.next_grant_fault = fault


class WorkerProcess:
    """One life of the worker of a machine.

    It sends its first heartbeat after ``silent_s``.
    """

    def __init__(
        self, machine: "Machine", worker_id: str, born: int, silent_s: float
    ) -> None:
        fleet = machine.fleet
        self.machine = machine
        self.fleet = fleet
        self.loop = fleet.loop
        self.random = machine.random
        self.process = Process(self.loop, f"worker {worker_id}")
        self.worker = Worker(
            worker_id,
            born,
            SERVICE,
            lambda: self.loop.now,
            fleet.observer.note,
            address=f"{machine.vm}:{WORKER_PORT}",
            clock_lag=self.random.choice((0.0, 0.02)),
            by_heartbeat=fleet.by_heartbeat,
            slots=8,
        )
        fleet.observer.add(self.worker)
        self.server = PartlyFaultyServer(self.worker, self.loop, self.random)
        self.listener = Listener(self.process, self.server.protocol)
        fleet.network.listeners[machine.vm] = self.listener
        self.connection: object = object()
        self.process.spawn(self._send_heartbeats(silent_s))

    @property
    def is_up(self) -> bool:
        """Whether the process runs; it may be frozen."""
        return not self.worker.has_ended

    def begin_request(self, request_id: str, key: int, work_s: float) -> bool:
        """Begin a request that has arrived; return whether it runs."""
        if self.server.is_frozen or self.worker.begin(request_id, key) != 200:
            return False
        finish = partial(self.worker.end, request_id)
        self.process.call_at(self.loop.now + work_s, self.server.run, finish)
        return True

    def freeze(self, duration_s: float) -> None:
        """Stop the process for a while."""
        self.server.freeze()
        self.process.call_at(self.loop.now + duration_s, self.server.thaw)

    def end(self) -> None:
        """End the process; its connections are reset."""
        self.server.crash()
        self.fleet.network.end_process(self.process)

    def leave(self, serves_s: float, sends_leave: bool) -> None:
        """Report that the worker leaves, serve on for a while and exit."""
        self.process.spawn(self._leave(serves_s, sends_leave))

    async def _leave(self, serves_s: float, sends_leave: bool) -> None:
        if sends_leave:
            self._send_leave()
        else:
            self.worker.state = "draining"
        await asyncio.sleep(serves_s)
        await self._thawed()
        if not sends_leave:
            self._send_leave()
        self.machine.end_worker()

    def _send_leave(self) -> None:
        body = json.dumps({"born": self.worker.born}).encode()
        self.fleet.send(self.machine.receive_leave, self.worker.id, body)

    async def _thawed(self) -> None:
        if self.server.is_frozen:
            thawed = self.loop.create_future()
            self.server.run(partial(_resolve, thawed, None))
            await thawed

    async def _send_heartbeats(self, silent_s: float) -> None:
        await asyncio.sleep(silent_s + self.random.random() * 0.05)
        while True:
            await self._thawed()
            is_prompt = await self._send_heartbeat()
            jitter = 0.97 + 0.06 * self.random.random()
            interval_s = PROMPT_INTERVAL_S if is_prompt else HEARTBEAT_INTERVAL_S
            await asyncio.sleep(interval_s * jitter)

    async def _send_heartbeat(self) -> bool:
        """Send a heartbeat and process its answer; return whether one is due soon."""
        sent_at = self.loop.now
        answered = self.loop.create_future()
        body = self.worker.heartbeat()
        late_s = self.machine.heartbeat_late_s
        self.fleet.send_later(
            late_s,
            self.machine.receive_heartbeat,
            self.worker.id,
            body,
            self.connection,
            partial(_resolve, answered),
        )
        answer = None
        with suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await answered
        await self._thawed()
        if answer is None:
            self.connection = object()
            return False
        return self.worker.take_answer(answer, sent_at)


def _resolve(answered: asyncio.Future, answer: dict | None) -> None:
    if not answered.done():
        answered.set_result(answer)
