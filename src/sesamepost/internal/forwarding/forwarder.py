"""Forwards requests to endpoints that may run them, and retries where allowed."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import structlog

from sesamepost.errors import ANSWERS, ErrorKind, Outcome, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import NodeEntry, NodeTable
from sesamepost.internal.forwarding.calls import Call, Progress
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.link_room import LinkFullError, admit_body
from sesamepost.internal.forwarding.link_waits import LinkWaits
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.messages import Forward, LinkFull
from sesamepost.internal.forwarding.return_times import ReturnTimes
from sesamepost.internal.ranges.placement import Placement
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.wire.link import class_of_rank
from sesamepost.internal.wire.messages import Answer, Cancel, Refusal
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

# Longest total time that a request waits for a reachable node that can run it, such as
# the owner of its key.
MAX_NODE_WAIT_S = 0.8
# Share of the time until its deadline that a request may spend waiting.
MAX_WAIT_SHARE = 0.3
NODE_POLL_INTERVAL_S = 0.05
# Callers wait for at most this share of the time that they have left.
MAX_RETURN_SHARE = 1 / 3
# By then the key has probably been assigned to an owner.
NO_OWNER_RETRY_AFTER_S = 0.5
# An operator takes an evacuation back, or changes the regions, after seconds at least.
EXCLUDED_RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 8
# A node that refuses requests while it stops is not tried again for this long, since
# it may have restarted by then.
STOPPING_NODE_BACKOFF_S = 2.0
MIN_RETRY_TIME_S = 0.02
# Links of one service are full at the same time; each further attempt costs the caller
# up to a round trip between regions.
MAX_FULL_LINKS = 3

log = structlog.get_logger()


class Forwarder:
    """Chooses endpoints by owner or by load and forwards requests to their nodes.

    ``tables`` returns the ``TableStore`` of a partitioned service, or None for any
    other service.
    """

    def __init__(
        self,
        vm: str,
        pool: PeerPool,
        nodes: NodeTable,
        local: LocalEndpoint,
        loads: LoadTracker,
        tables: Callable[[str], TableStore | None],
        placement: Placement | None = None,
    ) -> None:
        self.vm = vm
        self.placement = placement or Placement()
        self.pool = pool
        self.nodes = nodes
        self.local = local
        self.loads = loads
        self.tables = tables
        self.return_times = ReturnTimes()
        self.link_waits = LinkWaits()
        self.counters: Counter[str] = Counter()

    async def run(self, call: Call, progress: Progress) -> Answer:
        """Return an endpoint's answer, or raise ``RouterError``.

        At the deadline of the call, the request is cancelled at the endpoint. A failed
        answer of an endpoint is returned rather than an error of later attempts.
        """
        remaining_s = call.deadline - boottime()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await self._run(call, progress)
        except RouterError as error:
            if progress.failed_answer is not None:
                return progress.failed_answer
            self._set_return_time(call, progress, error)
            raise
        except TimeoutError:
            progress.add_interrupted_step("deadline")
            if progress.failed_answer is not None:
                return progress.failed_answer
            if progress.sent_to is not None:
                progress.may_have_run = True
            raise progress.error(ErrorKind.DEADLINE_NOT_RUN) from None
        except asyncio.CancelledError:
            progress.add_interrupted_step("cancelled")
            raise

    def _set_return_time(
        self, call: Call, progress: Progress, error: RouterError
    ) -> None:
        """Choose when the caller of a refused request should return."""
        if ANSWERS[error.kind].outcome is not Outcome.NOT_RUN:
            return
        now = boottime()
        latest_s = (call.deadline - now) * MAX_RETURN_SHARE
        progress.retry_after_s = self.return_times.next_wait_s(
            self._pace_target(call), progress.retry_after_s, latest_s, now
        )
        progress.is_return_spread = True

    def _pace_target(self, call: Call) -> str:
        """Return what callers of a route wait for: the owner of a key or the service.

        Routes do not share times, since a wait may hold for one of them only.
        """
        tables = self.tables(call.service)
        owner = None
        if tables is not None and tables.table is not None:
            owner = tables.table.find(call.key).owner
        target = call.service if owner is None else owner.vm
        return f"{target} {call.route.name}"

    async def _run(self, call: Call, progress: Progress) -> Answer:
        for _ in range(MAX_ATTEMPTS):
            node = await self._choose_node(call, progress)
            started = boottime()
            try:
                answer = await self._attempt(node, call, progress)
            except RouterError as error:
                progress.add_step(node, error.kind)
                if error.kind is ErrorKind.NOT_OWNER:
                    # The owner's node waited for the hold, which counts as well.
                    progress.waited_s += boottime() - started
                await self._handle_failure(node, call, progress, error)
                continue
            progress.add_step(node, str(answer.status))
            if answer.status < 500 or not self._may_retry(call, progress):
                return answer
            # The failed answer is returned unless another endpoint answers.
            progress.failed_answer = answer
            progress.may_have_run = True
            progress.retries += 1
            progress.tried.add(node.vm)
            if not self._has_alternative(call, progress):
                return answer
        raise progress.error(ErrorKind.OVERLOADED, "all attempts failed")

    async def _choose_node(self, call: Call, progress: Progress) -> NodeEntry:
        tables = self.tables(call.service)
        while True:
            if tables is not None:
                node, reason = self._find_owner(call, tables, progress)
                progress.basis = f"r{tables.revision}"
                if node is not None:
                    return node
            else:
                candidates = self._candidates(call, progress)
                node = self._pick(candidates, call)
                now = boottime()
                if node is not None:
                    progress.basis = self.loads.load_of(node.vm).age_text(now)
                    return node
                reachable = [
                    n for n in candidates if self.loads.is_reachable(n.vm, now)
                ]
                if not candidates:
                    self._check_placement(call, progress)
                if reachable or (progress.tried and not candidates):
                    self._note_link_wait(reachable, call, progress)
                    self._raise_overloaded(reachable, progress)
                reason = ErrorKind.NO_ENDPOINT
            await self._wait_for_node(call, progress, reason)

    def _find_owner(
        self, call: Call, tables: TableStore, progress: Progress
    ) -> tuple[NodeEntry | None, ErrorKind]:
        table = tables.table
        owner = None if table is None else table.find(call.key).owner
        if owner is None:
            return None, ErrorKind.NO_OWNER
        node = self.nodes.nodes.get(owner.vm)
        if node is None or not self.loads.is_reachable(owner.vm, boottime()):
            return None, ErrorKind.OWNER_UNREACHABLE
        if not self._may_send_to_owner(node, call, progress):
            return None, ErrorKind.NO_OWNER
        return node, ErrorKind.NO_OWNER

    def _may_send_to_owner(
        self, owner: NodeEntry, call: Call, progress: Progress
    ) -> bool:
        """Return whether a call may be sent to the owner of its key.

        Raise ``RouterError`` if it may not and no other owner is to be expected. The
        owner serves its keys for a while after the evacuation of its domain.
        """
        regions = call.route.allowed_regions
        is_inside = not regions or owner.region in regions
        if is_inside and not self.placement.is_evacuated(owner):
            return True
        self._check_placement(call, progress)
        if not is_inside and self.placement.is_eligible(call.service, owner):
            detail = "the key is owned outside the allowed regions"
            self._raise_excluded(progress, detail)
        return is_inside and not self.placement.is_closed(owner)

    def _check_placement(self, call: Call, progress: Progress) -> None:
        """Raise ``RouterError`` if no ready endpoint may get the call."""
        regions = call.route.allowed_regions
        ready = [
            node
            for node in self.nodes.endpoints_of(call.service)
            if not node.is_stopping
        ]
        if not ready or any(self.placement.may_run(node, regions) for node in ready):
            return
        detail = f"{len(ready)} endpoints are evacuated"
        if regions:
            detail += " or outside the allowed regions"
        self._raise_excluded(progress, detail)

    def _raise_excluded(self, progress: Progress, detail: str) -> None:
        self.counters["refused_by_placement"] += 1
        progress.retry_after_s = EXCLUDED_RETRY_AFTER_S
        raise progress.error(ErrorKind.NO_ENDPOINT, detail)

    def _candidates(self, call: Call, progress: Progress) -> list[NodeEntry]:
        return [
            node
            for node in self.nodes.endpoints_of(call.service)
            if node.vm not in progress.tried
            and not node.is_stopping
            and self.placement.may_run(node, call.route.allowed_regions)
        ]

    def _pick(self, candidates: list[NodeEntry], call: Call) -> NodeEntry | None:
        now = boottime()
        candidates = [
            node
            for node in candidates
            if not self.link_waits.wait_s(node.vm, call.route.name, now)
        ]
        max_wait_s = max(
            0.05, call.target_at - now, (call.deadline - now) * MAX_WAIT_SHARE
        )
        target_latency_s = call.target_at - now
        return self.loads.pick(
            candidates, call.route.name, now, target_latency_s, max_wait_s
        )

    def _has_alternative(self, call: Call, progress: Progress) -> bool:
        if self.tables(call.service) is not None:
            return True
        return self._pick(self._candidates(call, progress), call) is not None

    def _note_link_wait(
        self, candidates: list[NodeEntry], call: Call, progress: Progress
    ) -> None:
        """Let the caller return when one of the links has room."""
        wait_s = self.link_waits.shortest_s(
            (node.vm for node in candidates), call.route.name, boottime()
        )
        progress.retry_after_s = max(progress.retry_after_s, wait_s)

    def _count_full_link(
        self, node: NodeEntry, call: Call, progress: Progress, error: RouterError
    ) -> None:
        """Raise if several endpoints have refused the call because of their links."""
        if not self._is_link_refusal(node, call, error):
            return
        progress.full_links += 1
        if progress.full_links < MAX_FULL_LINKS:
            return
        wait_s = self.link_waits.shortest_s(progress.tried, call.route.name, boottime())
        progress.retry_after_s = max(progress.retry_after_s, wait_s)
        raise progress.error(error.kind, error.detail)

    def _is_link_refusal(self, node: NodeEntry, call: Call, error: RouterError) -> bool:
        wait_s = self.link_waits.wait_s(node.vm, call.route.name, boottime())
        return error.kind is ErrorKind.OVERLOADED and wait_s > 0

    def note_link_full(self, stream: PeerStream, message: LinkFull) -> None:
        """Send no more requests on a route to a VM until its link has room."""
        self.counters["link_full"] += 1
        self.link_waits.note(
            stream.peer.vm, message.route, message.wait_ms / 1000, boottime()
        )

    def _raise_overloaded(
        self, candidates: list[NodeEntry], progress: Progress
    ) -> None:
        if progress.failed_answer is None:
            wait_s = self.loads.shortest_wait_s(candidates, boottime())
            if wait_s != float("inf"):
                progress.retry_after_s = max(progress.retry_after_s, wait_s)
        raise progress.error(ErrorKind.OVERLOADED, "no endpoint has capacity left")

    async def _wait_for_node(
        self, call: Call, progress: Progress, reason: ErrorKind
    ) -> None:
        """Wait for a change of nodes or owners; raise after waiting for too long."""
        remaining_s = call.deadline - boottime()
        max_wait_s = (
            min(MAX_NODE_WAIT_S, remaining_s * MAX_WAIT_SHARE) - progress.waited_s
        )
        if max_wait_s <= 0:
            progress.retry_after_s = NO_OWNER_RETRY_AFTER_S
            raise progress.error(reason, f"waited {progress.waited_s:.2f} s")
        started = boottime()
        await self.nodes.mirror.wait_for_change(min(NODE_POLL_INTERVAL_S, max_wait_s))
        progress.waited_s += boottime() - started

    async def _handle_failure(
        self, node: NodeEntry, call: Call, progress: Progress, error: RouterError
    ) -> None:
        """Return if the call may be retried; raise the final error otherwise."""
        if isinstance(error, LinkFullError):
            # The link of this node is the same for all endpoints.
            progress.retry_after_s = max(progress.retry_after_s, error.wait_s)
            raise progress.error(error.kind, error.detail)
        if ANSWERS[error.kind].outcome is not Outcome.NOT_RUN:
            progress.may_have_run = True
            progress.tried.add(node.vm)
            progress.retries += 1
            if not self._may_retry(call, progress):
                raise progress.error(error.kind, error.detail)
            return
        if error.kind is ErrorKind.SHUTTING_DOWN:
            self.loads.note_unreachable(node.vm, boottime(), STOPPING_NODE_BACKOFF_S)
        match error.kind:
            case ErrorKind.ENDPOINT_REFUSED:
                progress.retries += 1
                progress.tried.add(node.vm)
                if self.tables(call.service) is not None:
                    await self._wait_for_node(call, progress, error.kind)
            case ErrorKind.NOT_OWNER:
                await self._wait_for_node(call, progress, error.kind)
            case _ if self.tables(call.service) is None:
                progress.tried.add(node.vm)
                self._count_full_link(node, call, progress, error)
            case ErrorKind.OVERLOADED | ErrorKind.DEADLINE_NOT_RUN:
                self._note_link_wait([node], call, progress)
                load = self.loads.load_of(node.vm)
                wait_s = load.expected_wait_s(node.endpoint.slots, boottime())
                if wait_s != float("inf"):
                    progress.retry_after_s = max(progress.retry_after_s, wait_s)
                raise progress.error(error.kind, error.detail)
            case _:
                await self._wait_for_node(call, progress, error.kind)

    def _may_retry(self, call: Call, progress: Progress) -> bool:
        return (
            call.route.is_retryable
            and len(progress.reached) < call.route.max_endpoints
            and call.deadline - boottime() > MIN_RETRY_TIME_S
        )

    async def _attempt(self, node: NodeEntry, call: Call, progress: Progress) -> Answer:
        now = boottime()
        request = Forward(
            0,
            call.request_id,
            call.route.name,
            call.service,
            call.key,
            call.method,
            call.target,
            call.headers,
            call.body,
            max(1, int((call.deadline - now) * 1000)),
            max(0, int((call.target_at - now) * 1000)),
            call.rank,
            progress.retries,
        )
        self.loads.note_sent(node.vm, now)
        failed = False
        progress.sent_to = node
        try:
            if node.vm == self.vm:
                answer = await self._run_locally(request)
            else:
                answer = await self._run_on_peer(node, request)
            progress.reached.add(node.vm)
            failed = answer.status >= 500
            ended = boottime()
            self.return_times.note_answer(self._pace_target(call), ended)
            self.loads.note_time(node.vm, call.route.name, ended - now, ended)
            return answer
        except RouterError as error:
            # A full link says nothing about requests on other routes.
            is_link_full = isinstance(error, LinkFullError) or (
                self._is_link_refusal(node, call, error)
            )
            failed = error.kind is not ErrorKind.NOT_OWNER and not is_link_full
            if ANSWERS[error.kind].outcome is not Outcome.NOT_RUN:
                progress.reached.add(node.vm)
            raise
        finally:
            self.loads.note_done(node.vm, failed, boottime())
            # After a cancellation, ``run`` still needs it to report a timeout.
            if not _is_cancelled():
                progress.sent_to = None

    async def _run_locally(self, request: Forward) -> Answer:
        try:
            return to_message(0, await self.local.run(request))
        finally:
            self.loads.note_hint(self.vm, self.local.hint(), boottime())

    async def _run_on_peer(self, node: NodeEntry, request: Forward) -> Answer:
        try:
            stream = await self.pool.stream_to(node.address, node.node_id)
        except StreamClosedError as error:
            self.loads.note_unreachable(node.vm, boottime())
            raise RouterError(ErrorKind.OWNER_UNREACHABLE, str(error)) from None
        if not stream.writable.is_set():
            raise RouterError(
                ErrorKind.OWNER_UNREACHABLE, "the send buffer of the stream is full"
            )
        request = admit_body(self.pool.link, request, asyncio.get_running_loop().time())
        self.counters["forwarded"] += 1
        call_id, future = stream.new_call()
        unsent = None
        try:
            unsent = stream.send(
                replace(request, id=call_id), link_class=class_of_rank(request.rank)
            )
            reply = await future
        except StreamClosedError as error:
            self.counters["streams_lost_with_calls"] += 1
            raise RouterError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from None
        except asyncio.CancelledError:
            # A cancellation would overtake a request that still waits for the link.
            is_sent = unsent is None or not self.pool.link.cancel(unsent)
            if is_sent and stream.is_open:
                stream.send(Cancel(call_id))
            raise
        finally:
            stream.forget_call(call_id)
        match reply:
            case Answer():
                return reply
            case Refusal():
                raise RouterError(ErrorKind(reply.kind), reply.detail)


def to_message(call_id: int, answer) -> Answer:
    """Convert an endpoint's response into a message to another node."""
    return Answer(call_id, answer.status, answer.forwarded(), answer.body, False)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
