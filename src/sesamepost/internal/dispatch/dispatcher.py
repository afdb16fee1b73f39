"""Dispatch of requests to the endpoints of this VM while the node may serve them."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

import structlog

from sesamepost.errors import ANSWERS, ErrorKind, Outcome, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.born_token import issue_born_token
from sesamepost.internal.dispatch.endpoint_client import DispatchContext
from sesamepost.internal.dispatch.endpoints import Announcement
from sesamepost.internal.dispatch.records import (
    DidNotRun,
    IdempotencyRecords,
    Join,
    OutcomeUnknown,
    Ran,
    RecordKey,
    Refuse,
    Replay,
    Run,
    RunResult,
    StoredAnswer,
    Submission,
)
from sesamepost.internal.dispatch.served import ServedEndpoint
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId, hash_key
from sesamepost.internal.ownership.assignment import Placement
from sesamepost.internal.ownership.items import Item, item_of
from sesamepost.internal.ownership.releases import ReleaseTable
from sesamepost.internal.ownership.right_to_serve import (
    dispatch_deadline,
    right_to_serve,
)
from sesamepost.internal.wire.messages import Answer, Cancel, Refusal, Request
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream

GRANT_INTERVAL_S = 0.4
RETIRE_POLL_S = 0.05

log = structlog.get_logger()


class Dispatcher:
    """Decides whether a request may run on this node at this moment, and runs it.

    ``lease_expiry`` returns the end of this node's lease on ``CLOCK_BOOTTIME``.
    ``on_item_idle`` is called with a released item when its last request has ended.
    """

    def __init__(
        self,
        node: NodeId,
        pool: PeerPool,
        views: Views,
        lease_expiry: Callable[[], float],
    ) -> None:
        self.node = node
        self.views = views
        self.lease_expiry = lease_expiry
        self.endpoints: dict[str, ServedEndpoint] = {}
        self.records = IdempotencyRecords()
        self.releases = ReleaseTable()
        self.counters: Counter[str] = Counter()
        self.on_item_idle: Callable[[Item], None] = lambda item: None
        self.on_request: Callable[[Item, int], None] = lambda item, key_hash: None
        self.is_closed = False
        self.born_tokens: dict[str, tuple[tuple[int, int], str]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.peer_tasks: dict[tuple[PeerStream, int], asyncio.Task] = {}
        pool.on(Request, self._on_request)
        pool.on(Cancel, self._on_cancel)

    async def __aenter__(self) -> "Dispatcher":
        return self

    async def __aexit__(self, *error) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.close()
        endpoints, self.endpoints = self.endpoints, {}
        for endpoint in endpoints.values():
            await endpoint.close()

    async def run(self) -> None:
        """Extend the grants of fenced endpoints and evaluate all; never returns."""
        while True:
            for service, endpoint in list(self.endpoints.items()):
                endpoint.evaluate(boottime())
                self._start_task(self._grant(service, endpoint))
            await asyncio.sleep(GRANT_INTERVAL_S)

    def announce(self, announcement: Announcement) -> None:
        """Handle an endpoint's announcement."""
        service = announcement.service
        current = self.endpoints.get(service)
        settings = self.views.services.get(service)
        if settings is None:
            self.counters["announcements_of_unknown_services"] += 1
            return
        can_reuse = current is not None and current.change_settings(settings)
        if can_reuse and current.renew(announcement):
            return
        endpoint = ServedEndpoint(announcement, settings)
        self.endpoints[service] = endpoint
        log.info("endpoint_announced", service=service, url=announcement.url)
        if current is not None:
            endpoint.adopt_state(current)
            self._start_task(self._retire(current))
        self._start_task(self._grant(service, endpoint))

    def withdraw(self, service: str) -> None:
        """Remove an endpoint that announced its end."""
        endpoint = self.endpoints.pop(service, None)
        if endpoint is not None:
            log.info("endpoint_withdrawn", service=service)
            self._start_task(self._retire(endpoint))

    async def _retire(self, endpoint: ServedEndpoint) -> None:
        """Close an endpoint's connections once its requests have ended.

        A change of settings replaces the endpoint's limits but not its process, so
        requests that are running or waiting for a slot must be allowed to finish.
        """
        try:
            while endpoint.gate.used or endpoint.gate.queued:  # noqa: ASYNC110
                await asyncio.sleep(RETIRE_POLL_S)
        finally:
            await endpoint.close()

    def close(self) -> None:
        """Refuse new requests; routers keep them waiting for the next owner."""
        self.is_closed = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or running on this node."""
        return not self.releases.in_flight

    def born_token(self, service: str) -> str:
        """Return a token for a first submission, or "" if no assignment is known."""
        assignment = self.views.assignments.get(service)
        if assignment is None:
            return ""
        issued = (assignment.version, int(time.time()))
        cached = self.born_tokens.get(service)
        if cached is None or cached[0] != issued:
            cached = self.born_tokens[service] = (issued, issue_born_token(*issued))
        return cached[1]

    async def handle(
        self, request: Request, key_hash: int | None = None
    ) -> Answer | Refusal:
        """Run a request and return its answer, or a refusal with the reason.

        ``key_hash`` is the hash of the request's key if the caller has computed it.
        """
        if key_hash is None:
            key_hash = hash_key(request.key)
        deadline = boottime() + request.timeout_ms / 1000
        placement = self._candidate_placement(request.service, key_hash)
        if placement is None:
            return self._refuse(request, ErrorKind.NOT_OWNER)
        item = item_of(self.views.assignments[request.service], key_hash)
        self.on_request(item, key_hash)
        self.releases.enter(item, key_hash)
        try:
            if not request.idempotency_key:
                return await self._run(request, key_hash, placement, deadline)
            return await self._run_idempotent(
                request, key_hash, item, placement, deadline
            )
        except RouterError as error:
            return self._refuse(request, error.kind, error.detail)
        finally:
            for idle_item in self.releases.leave(item, key_hash):
                self.on_item_idle(idle_item)

    def _candidate_placement(self, service: str, key_hash: int) -> Placement | None:
        """Return the placement of a key that this node seems to serve, else None.

        This check avoids queueing a request that would be refused later. Only
        ``right_to_serve`` decides whether the request may run, immediately before the
        request is sent or its record is begun.
        """
        assignment = self.views.assignments.get(service)
        endpoint = self.endpoints.get(service)
        if assignment is None or endpoint is None:
            return None
        placement = assignment.find(key_hash)
        if placement.owner != self.node or not endpoint.is_in_service(boottime()):
            return None
        item = item_of(assignment, key_hash)
        if self.releases.is_released(item, key_hash, placement.epoch):
            return None
        return placement

    def _check_right(self, service: str, key_hash: int, lease_expiry: float):
        now = boottime()
        endpoint = self.endpoints.get(service)
        return right_to_serve(
            self.views.assignments.get(service),
            key_hash,
            self.node,
            self.releases,
            lease_expiry,
            now,
            not self.is_closed and endpoint is not None and endpoint.is_in_service(now),
        )

    async def _run_idempotent(
        self,
        request: Request,
        key_hash: int,
        item: Item,
        placement: Placement,
        deadline: float,
    ) -> Answer:
        # A stored answer, too, may be returned only under a valid lease.
        right = self._check_right(request.service, key_hash, self.lease_expiry())
        if right.is_error():
            raise RouterError(right.error)
        submission = Submission(
            item,
            request.key,
            key_hash,
            request.idempotency_key,
            request.born,
            placement,
        )
        decision = self.records.begin(submission, boottime(), time.time())
        match decision:
            case Run(record):
                return await self._run_recorded(
                    request, key_hash, placement, deadline, record
                )
            case Join(waiters):
                result = await self._wait_for_running(waiters, deadline)
            case _:
                result = decision
        match result:
            case Replay(answer):
                self.counters["replayed"] += 1
                return Answer(
                    request.id, answer.status, answer.headers, answer.body, True
                )
            case Refuse(kind):
                raise RouterError(kind)

    async def _wait_for_running(
        self, waiters: list, deadline: float
    ) -> Replay | Refuse:
        future = asyncio.get_running_loop().create_future()

        def resolve(result: Replay | Refuse) -> None:
            if not future.done():
                future.set_result(result)

        waiters.append(resolve)
        try:
            async with asyncio.timeout(max(0.0, deadline - boottime())):
                return await future
        except TimeoutError:
            raise RouterError(
                ErrorKind.OUTCOME_UNKNOWN, "the first submission is still running"
            ) from None

    async def _run_recorded(
        self,
        request: Request,
        key_hash: int,
        placement: Placement,
        deadline: float,
        record: RecordKey,
    ) -> Answer:
        run_result: RunResult = OutcomeUnknown()
        try:
            answer = await self._run(request, key_hash, placement, deadline)
            headers = tuple(answer.headers)
            run_result = Ran(StoredAnswer(answer.status, headers, answer.body))
            return answer
        except RouterError as error:
            if ANSWERS[error.kind].outcome is Outcome.NOT_RUN:
                run_result = DidNotRun(error.kind)
            raise
        finally:
            self.records.finish(record, run_result)

    async def _run(
        self, request: Request, key_hash: int, placement: Placement, deadline: float
    ) -> Answer:
        endpoint = self.endpoints[request.service]
        ticket = await endpoint.gate.admit(request.class_name, deadline)
        measured = False
        try:
            answer = await self._send(endpoint, request, key_hash, placement, deadline)
            measured = True
            return answer
        finally:
            endpoint.gate.release(ticket, measured)

    async def _send(
        self,
        endpoint: ServedEndpoint,
        request: Request,
        key_hash: int,
        placement: Placement,
        deadline: float,
    ) -> Answer:
        # The right to serve may have ended while the request waited for a slot.
        lease_expiry = self.lease_expiry()
        right = self._check_right(request.service, key_hash, lease_expiry)
        if right.is_error():
            raise RouterError(right.error)
        if right.ok.epoch != placement.epoch:
            raise RouterError(
                ErrorKind.NOT_OWNER, "the epoch changed while the request was queued"
            )
        item = item_of(self.views.assignments[request.service], key_hash)
        expires_at = dispatch_deadline(
            deadline, lease_expiry, endpoint.announcement.fenced
        )
        remaining = expires_at - boottime()
        if remaining <= 0:
            raise RouterError(ErrorKind.DEADLINE_NOT_RUN)
        number = endpoint.begin()
        try:
            context = DispatchContext(
                item.fence_name, placement.epoch, remaining, expires_at
            )
            answer = await endpoint.client.send(request, context)
        except RouterError as error:
            endpoint.note_failure(error.kind)
            raise
        finally:
            endpoint.end(number)
        endpoint.note_success()
        return answer

    def _refuse(self, request: Request, kind: ErrorKind, detail: str = "") -> Refusal:
        self.counters[kind] += 1
        assignment = self.views.assignments.get(request.service)
        version = 0 if assignment is None else assignment.version
        return Refusal(request.id, kind, detail, version)

    def _on_request(self, stream: PeerStream, request: Request) -> None:
        if not stream.writable.is_set():
            # The peer reads too slowly, so more answers would only pile up in memory.
            self.counters["refused_for_slow_peers"] += 1
            detail = "the requesting daemon reads its answers too slowly"
            stream.send(self._refuse(request, ErrorKind.OVERLOADED, detail))
            return
        task = self._start_task(self._handle_peer_request(stream, request))
        self.peer_tasks[stream, request.id] = task

    async def _handle_peer_request(self, stream: PeerStream, request: Request) -> None:
        try:
            reply = await self.handle(request)
        except Exception:
            log.exception("dispatch_failed", service=request.service)
            reply = self._refuse(request, ErrorKind.INTERNAL)
        finally:
            self.peer_tasks.pop((stream, request.id), None)
        if stream.is_open:
            stream.send(reply)

    def _on_cancel(self, stream: PeerStream, message: Cancel) -> None:
        task = self.peer_tasks.get((stream, message.id))
        if task is not None:
            self.counters["cancelled"] += 1
            task.cancel()

    async def _grant(self, service: str, endpoint: ServedEndpoint) -> None:
        if endpoint.is_granting:
            # Grants must not pile up while an endpoint is frozen.
            return
        endpoint.is_granting = True
        try:
            await endpoint.grant(service, self.node.incarnation, self.lease_expiry())
        finally:
            endpoint.is_granting = False

    def _start_task(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
