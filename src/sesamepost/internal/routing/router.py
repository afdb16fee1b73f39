"""Routing of calls to the owners of their keys."""

import asyncio
from collections import Counter

from sesamepost.errors import ANSWERS, ErrorKind, Outcome, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.dispatcher import Dispatcher
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.routing.call import Call
from sesamepost.internal.routing.retry_budget import RetryBudget
from sesamepost.internal.wire.messages import Answer, Cancel, Refusal, Request
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.32
# The owner answers at the deadline, and its answer is more precise than a timeout here.
ANSWER_GRACE_S = 0.05
RETRIED_REFUSALS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_OWNER,
        ErrorKind.OWNER_UNREACHABLE,
        ErrorKind.SHUTTING_DOWN,
    }
)


class AttemptState:
    """The state of all attempts to run one call.

    Once an attempt may have run, the caller must not get the outcome "not run", even if
    a later attempt is refused with it.
    """

    __slots__ = ("backoff_s", "last_kind", "may_have_run")

    def __init__(self) -> None:
        self.backoff_s = MIN_BACKOFF_S
        self.last_kind = ErrorKind.NO_OWNER
        self.may_have_run = False

    def final_error(self, kind: ErrorKind, detail: str = "") -> RouterError:
        """Return the error for the caller, whose outcome covers all attempts."""
        if self.may_have_run and ANSWERS[kind].outcome is Outcome.NOT_RUN:
            return RouterError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"an earlier attempt may have run; then {kind}: {detail}",
            )
        return RouterError(kind, detail)


class Router:
    """Routes calls by the newest assignment that this daemon has received.

    A call whose key has no reachable owner is retried until its deadline.
    """

    def __init__(
        self, node: NodeId, pool: PeerPool, views: Views, dispatcher: Dispatcher
    ) -> None:
        self.node = node
        self.pool = pool
        self.views = views
        self.dispatcher = dispatcher
        self.counters: Counter[str] = Counter()
        self.budgets: dict[str, RetryBudget] = {}

    async def route(self, call: Call) -> Answer:
        """Return the endpoint's answer, or raise ``RouterError`` if there is none."""
        service = self.views.services.get(call.service)
        if service is None:
            raise RouterError(ErrorKind.UNKNOWN_SERVICE, call.service)
        budget = self._budget(call.service, service.retry_percent)
        budget.note_request(boottime())
        deadline = boottime() + (call.timeout_ms or service.timeout_ms) / 1000
        state = AttemptState()
        while True:
            reply = await self._try_once(call, deadline, state)
            if type(reply) is Answer:
                return reply
            kind = state.last_kind = ErrorKind(reply.kind)
            if kind is ErrorKind.OUTCOME_UNKNOWN:
                state.may_have_run = True
                self._take_retry_token(call, budget, deadline)
                continue
            if kind not in RETRIED_REFUSALS:
                raise state.final_error(kind, reply.detail)
            await self._back_off(state, deadline)

    def _budget(self, service: str, percent: int) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None or budget.ratio != percent / 100:
            budget = self.budgets[service] = RetryBudget(percent)
        return budget

    def _take_retry_token(self, call: Call, budget: RetryBudget, deadline: float):
        if not (call.repeatable or call.idempotency_key):
            raise RouterError(ErrorKind.OUTCOME_UNKNOWN)
        if boottime() >= deadline:
            raise RouterError(ErrorKind.OUTCOME_UNKNOWN)
        if not budget.take(boottime()):
            self.counters["retries_over_budget"] += 1
            raise RouterError(ErrorKind.OUTCOME_UNKNOWN, "no retry budget is left")
        self.counters["retries"] += 1

    async def _try_once(
        self, call: Call, deadline: float, state: AttemptState
    ) -> Answer | Refusal:
        remaining = deadline - boottime()
        if remaining <= 0:
            kind = state.last_kind
            raise state.final_error(kind, "the deadline passed while it was held")
        assignment = self.views.assignments.get(call.service)
        if assignment is None:
            return _refusal(ErrorKind.NO_OWNER)
        owner = assignment.find(call.key_hash).owner
        if owner is None:
            return _refusal(ErrorKind.NO_OWNER)
        if owner == self.node:
            self.counters["local"] += 1
            request = _request(0, call, remaining)
            return await self.dispatcher.handle(request, call.key_hash)
        stream = self.pool.streams.get(owner)
        if stream is None or not stream.is_open:
            stream = await self._open_stream(owner, remaining)
            if stream is None:
                return _refusal(ErrorKind.OWNER_UNREACHABLE)
        return await self._forward(stream, call, deadline)

    async def _open_stream(self, owner: NodeId, remaining: float) -> PeerStream | None:
        address = self.views.address_of(owner)
        if address is None:
            return None
        try:
            async with asyncio.timeout(remaining):
                return await self.pool.stream_to(address, owner)
        except (StreamClosedError, TimeoutError):
            return None

    async def _forward(
        self, stream: PeerStream, call: Call, deadline: float
    ) -> Answer | Refusal:
        if not stream.writable.is_set():
            return _refusal(ErrorKind.OWNER_UNREACHABLE)
        remaining = deadline - boottime()
        if remaining <= 0:
            return _refusal(ErrorKind.OWNER_UNREACHABLE)
        self.counters["forwarded"] += 1
        call_id, future = stream.new_call(remaining + ANSWER_GRACE_S)
        try:
            stream.send(_request(call_id, call, remaining))
            return await future
        except StreamClosedError as error:
            self.counters["streams_lost_with_calls"] += 1
            return _refusal(ErrorKind.OUTCOME_UNKNOWN, str(error))
        except TimeoutError:
            if stream.is_open:
                stream.send(Cancel(call_id))
            return _refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                "the owner did not answer before the deadline",
            )
        except asyncio.CancelledError:
            if stream.is_open:
                stream.send(Cancel(call_id))
            raise
        finally:
            stream.forget_call(call_id)

    async def _back_off(self, state: AttemptState, deadline: float) -> None:
        """Wait for a document to change, but at most for the current back-off."""
        self.counters["holds"] += 1
        wait_s = min(state.backoff_s, deadline - boottime())
        state.backoff_s = min(state.backoff_s * 2, MAX_BACKOFF_S)
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.views.next_change.wait()
        except TimeoutError:
            return


def _refusal(kind: ErrorKind, detail: str = "") -> Refusal:
    return Refusal(0, kind, detail, 0)


def _request(call_id: int, call: Call, remaining: float) -> Request:
    return Request(
        call_id,
        call.service,
        call.key,
        call.method,
        call.target,
        call.headers,
        call.body,
        max(1, int(remaining * 1000)),
        call.repeatable,
        call.idempotency_key,
        call.born,
        call.class_name,
    )
