"""Admission and delivery of requests to the local endpoint."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping

import structlog

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.decay import DecayingSum
from sesamepost.internal.forwarding.capacity_log import CapacityLog
from sesamepost.internal.forwarding.cold import ColdLimit
from sesamepost.internal.forwarding.cold_check import ColdChecker
from sesamepost.internal.forwarding.endpoint_connection import EndpointResponse
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.gate import (
    BUSY_WINDOWS_S,
    Dequeued,
    EndpointGate,
    QueuedRequest,
)
from sesamepost.internal.forwarding.messages import NO_KEY, Forward, LoadHint
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.forwarding.routes import Service
from sesamepost.internal.forwarding.server_load import ServerLoadReader
from sesamepost.internal.ranges.balance import KeyCounts
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.routing.retry_budget import RetryBudget

# How long a request waits for the hold of a range that this node already owns.
HOLD_WAIT_TIMEOUT_S = 0.6
# Statuses with which an endpoint may state that it did not run a request.
REFUSAL_STATUSES = frozenset({400, 421, 429, 503})
# Those with which it may say that it has too many.
OVERLOAD_STATUSES = frozenset({429, 503})
NOT_HOLDING_STATUS = 421
FAILURE_WEIGHT = 0.05
POLL_INTERVAL_S = 0.05
# Retries in percent of all requests; kept below the limit that operators set.
RETRY_PERCENT = 19
MIN_RETRIES_PER_S = 1.0
# Factor on the mean time of a request: it must start that long before its deadline.
START_MARGIN = 1.1
# A request that takes this many times longer than expected, while others end in time,
# is one that the endpoint has not taken.
HANG_FACTOR = 5.0
# From this usage on, ``busy`` uses the short window, so that overload shows at once.
OVERLOAD_THRESHOLD = 1.1

log = structlog.get_logger()


class LocalEndpoint:
    """Admits requests to the local endpoint and sends them.

    ``keeper`` manages the holds if the service of the endpoint is partitioned, and is
    None otherwise.
    """

    def __init__(self, pool: EndpointPool, names: HeaderNames) -> None:
        self.pool = pool
        self.names = names
        self.info: EndpointInfo | None = None
        self.cold = ColdLimit(boottime())
        self.cold_checker = ColdChecker(pool, names, self.cold, self._poll_gate)
        self.services: Mapping[str, Service] = {}
        self.gate = EndpointGate(0, self.cold)
        self.capacity_log = CapacityLog(self.gate.speed, self.gate.capacity)
        self.load_reader = ServerLoadReader()
        self.keeper: RangeKeeper | None = None
        self.key_counts = KeyCounts()
        # Request counts and expected slot time, by window.
        self.arrivals = {w: DecayingSum(w) for w in BUSY_WINDOWS_S}
        self.demand_s = {w: DecayingSum(w) for w in BUSY_WINDOWS_S}
        self.start_futures: dict[int, asyncio.Future] = {}
        self.next_ticket = 0
        # A stopping node must have the answers to all requests by this time.
        self.latest_deadline = float("inf")
        self.failure_share = 0.0
        self.retry_budget = RetryBudget(RETRY_PERCENT, MIN_RETRIES_PER_S)
        self.counters: Counter[str] = Counter()
        self.on_suspicion: Callable[[], None] = lambda: None
        # Whether the failure domain serves requests, by whether they have a key.
        self.may_serve: Callable[[bool], bool] = lambda has_key: True
        self.poller: asyncio.Task | None = None

    async def __aenter__(self) -> "LocalEndpoint":
        self.poller = asyncio.create_task(self._poll())
        return self

    async def __aexit__(self, *error) -> None:
        self.poller.cancel()
        self.cold_checker.close()

    def set_info(self, info: EndpointInfo | None) -> None:
        """Set the endpoint's description; one that is not ready gets no requests."""
        if (
            info is None
            or self.info is None
            or info.incarnation != self.info.incarnation
        ):
            self.pool.close_idle()
            self.failure_share = 0.0
            self.cold.note_incarnation(boottime())
            self.gate.capacity.forget()
        self.info = info
        self._apply_service()
        slots = info.slots if info is not None and info.is_ready else 0
        self._resolve_waiters(self.gate.set_slots(slots, boottime()))
        if slots == 0:
            self._reject_queue()

    def note_cold(self, incarnation: tuple[str, int], cold_s: float) -> None:
        """Record that this run of the endpoint says it stays cold for ``cold_s``."""
        if self.info is None or self.info.incarnation != incarnation:
            return
        now = boottime()
        if cold_s and not self.cold.is_cold(now):
            log.info("endpoint_cold", endpoint=self.info.id, cold_s=cold_s)
        self.cold.note_cold(cold_s, now)
        self._poll_gate()

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Apply the services in force."""
        self.services = services
        self._apply_service()

    def _apply_service(self) -> None:
        service = self.services.get(self.info.service) if self.info else None
        if service is not None:
            self.cold.set_service(service.cold_requests_per_s, service.cold_start_s)

    def _poll_gate(self) -> None:
        self._resolve_waiters(self.gate.poll(boottime()))
        self._check_if_cold()

    def _check_if_cold(self) -> None:
        info = self.info
        if info is None or not info.is_ready or not self.cold.needs_check(boottime()):
            return
        service = self.services.get(info.service)
        if service is not None:
            self.cold_checker.start(info, service.health_path)

    def hint(self) -> LoadHint:
        """Return the current load as a message to other nodes."""
        gate = self.gate
        now = boottime()
        cold_s = self.cold.cold_until - now if self.cold.is_cold(now) else 0.0
        return LoadHint(
            self.info.service if self.info else "",
            len(gate.running),
            len(gate.queued),
            gate.slots,
            int(self.mean_s() * 1000),
            min(10_000, int(self.busy() * 100)),
            int(self.failure_share * 100),
            math.ceil(cold_s * 1000),
            int(self.cold.tolerated_per_s * 60) if cold_s else 0,
        )

    def busy(self) -> float:
        """Return the recent usage of the slots, or the demand for them if it is higher.

        The demand also counts refused requests. The short window is used only if the
        endpoint is overloaded: the few requests of a second vary so much that keys
        would be moved back and forth.
        """
        now = boottime()
        short, long = (
            self._busy_in_window(window_s, now) for window_s in BUSY_WINDOWS_S
        )
        return short if short >= OVERLOAD_THRESHOLD else long

    def busy_lower_bound(self) -> float:
        """Return the recent usage of the slots, less what may be due to chance.

        Small numbers of requests vary widely: a count of n may be off by about the
        square root of n.
        """
        now = boottime()
        return max(
            self._busy_in_window(window_s, now)
            * (1 - 1 / math.sqrt(max(1.0, count.at(now))))
            for window_s, count in self.arrivals.items()
        )

    def note_moved(self, first: int, last: int) -> None:
        """Subtract the load of keys that are handed over from the recent load.

        It would otherwise count for several seconds, and more keys than necessary would
        be moved away.
        """
        kept = 1.0 - self.key_counts.forget(first, last)
        for window_s in BUSY_WINDOWS_S:
            self.demand_s[window_s].value *= kept
            self.gate.busy[window_s] *= kept

    def _busy_in_window(self, window_s: float, now: float) -> float:
        slots = max(1, self.gate.capacity.settled_limit)
        demand = self.demand_s[window_s].at(now) / window_s / slots
        if self.cold.is_cold(now):
            arrivals_per_s = self.arrivals[window_s].at(now) / window_s
            demand = max(demand, arrivals_per_s / self.cold.tolerated_per_s)
        return max(self.gate.busy_share(window_s, now), demand)

    def mean_s(self) -> float:
        """Return for how long a request uses a slot at present.

        A cold endpoint starts few requests a second, which counts as a longer time.
        """
        if not self.cold.is_cold(boottime()):
            return self.gate.recent_mean_s
        cold_s = self.gate.slots / self.cold.tolerated_per_s
        return max(self.gate.recent_mean_s, cold_s)

    async def run(self, request: Forward) -> EndpointResponse:
        """Return the endpoint's response, or raise ``RouterError``.

        The error's outcome says whether the request may have reached the endpoint.
        """
        received = boottime()
        deadline = min(received + request.timeout_ms / 1000, self.latest_deadline)
        self.check_service(request)
        time_s = self.gate.expected_time(request.route)
        if received + time_s > self.latest_deadline:
            raise RouterError(ErrorKind.SHUTTING_DOWN)
        mean_s = self.gate.mean_time(request.route)
        for window_s in BUSY_WINDOWS_S:
            self.arrivals[window_s].add(received)
            self.demand_s[window_s].add(received, mean_s)
        if request.retries:
            if not self.retry_budget.take(received):
                raise RouterError(ErrorKind.OVERLOADED, "no retry budget is left")
        else:
            self.retry_budget.note_request(received)
        if request.key != NO_KEY:
            self.key_counts.add(request.key, received, mean_s)
            await self._wait_for_hold(request.key, deadline)
        ticket = await self._admit(request, deadline)
        record_time = False
        pace = 1.0
        try:
            self.check_service(request)
            if request.key != NO_KEY and not self.keeper.may_run(request.key):
                raise RouterError(
                    ErrorKind.NOT_OWNER, "the hold ended while the request was queued"
                )
            answer = await self._send(request, deadline)
            # An endpoint that fails fast must not look fast.
            record_time = answer.status < 500
            pace = self._note_load(answer)
            return answer
        finally:
            now = boottime()
            self._resolve_waiters(self.gate.finish(ticket, now, record_time, pace))

    def _note_load(self, answer: EndpointResponse) -> float:
        """Use the load that the endpoint states; return the pace of its VM."""
        names = self.names
        if not names.load:
            return 1.0
        now = boottime()
        load = self.load_reader.read(answer.header(names.load), now)
        if load is None:
            return 1.0
        if load.waiting:
            self.gate.capacity.note_waiting(load.running, now)
        return load.pace

    def check_service(self, request: Forward) -> None:
        """Raise ``RouterError`` if the endpoint may not get requests of this kind."""
        info = self.info
        # What a cold endpoint tolerates is unknown until the settings are read.
        is_known = info is not None and bool(self.services)
        if not is_known or not info.is_ready or info.service != request.service:
            raise RouterError(ErrorKind.NO_ENDPOINT, request.service)
        if request.key != NO_KEY and self.keeper is None:
            raise RouterError(ErrorKind.NOT_OWNER, request.service)
        self._check_evacuation(request)

    def _check_evacuation(self, request: Forward) -> None:
        has_key = request.key != NO_KEY
        if not self.may_serve(has_key):
            self.counters["refused_evacuated"] += 1
            kind = ErrorKind.NOT_OWNER if has_key else ErrorKind.NO_ENDPOINT
            raise RouterError(kind, "the failure domain is evacuated")

    async def _wait_for_hold(self, key: int, deadline: float) -> None:
        if self.keeper.may_run(key):
            return
        timeout_s = min(HOLD_WAIT_TIMEOUT_S, (deadline - boottime()) / 2)
        if not await self.keeper.wait_until_granted(key, timeout_s):
            raise RouterError(ErrorKind.NOT_OWNER, "the endpoint does not hold the key")

    async def _admit(self, request: Forward, deadline: float) -> int:
        now = boottime()
        self.next_ticket += 1
        ticket = self.next_ticket
        time_s = self.gate.expected_time(request.route)
        latest_start = max(now, deadline - time_s * START_MARGIN)
        target_start = now + request.target_latency_ms / 1000 - time_s
        waiting = QueuedRequest(
            ticket, request.route, request.rank, target_start, latest_start
        )
        kind = self.gate.submit(waiting, now)
        self._check_if_cold()
        if kind is not None:
            self.counters["refused"] += 1
            if self.cold.is_cold(now):
                self.counters["refused_while_cold"] += 1
            raise RouterError(kind, f"{len(self.gate.queued)} requests wait")
        if ticket in self.gate.running:
            return ticket
        future = asyncio.get_running_loop().create_future()
        self.start_futures[ticket] = future
        try:
            await future
        except asyncio.CancelledError:
            if ticket in self.gate.running:
                self._resolve_waiters(self.gate.finish(ticket, boottime(), False))
            else:
                self.gate.cancel(ticket)
            raise
        finally:
            del self.start_futures[ticket]
        return ticket

    async def _send(self, request: Forward, deadline: float) -> EndpointResponse:
        remaining_s = deadline - boottime()
        if remaining_s <= 0.002:
            raise RouterError(ErrorKind.DEADLINE_NOT_RUN)
        info = self.info
        names = self.names
        headers = [
            *request.headers,
            (names.request_id, request.request_id),
            (names.timeout_ms, str(max(1, int(remaining_s * 1000)))),
            (names.expected_endpoint, info.id),
        ]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(request.body))))
        self.counters["sent"] += 1
        try:
            async with asyncio.timeout(remaining_s):
                answer = await self.pool.send(
                    request.method,
                    request.target,
                    headers,
                    request.body,
                    request.request_id,
                )
        except TimeoutError:
            self._note_failure(True)
            self._note_hang(request, remaining_s)
            raise RouterError(
                ErrorKind.OUTCOME_UNKNOWN, "the endpoint did not answer in time"
            ) from None
        except RouterError:
            self._note_failure(True)
            self.on_suspicion()
            raise
        return self._check_refusal(request, answer)

    def _check_refusal(
        self, request: Forward, answer: EndpointResponse
    ) -> EndpointResponse:
        is_refusal = answer.status == NOT_HOLDING_STATUS or (
            answer.status in REFUSAL_STATUSES and answer.header(self.names.not_run)
        )
        if not is_refusal:
            self._note_failure(answer.status >= 500)
            return answer
        self.counters["refused_by_endpoint"] += 1
        if answer.status == NOT_HOLDING_STATUS:
            if request.key != NO_KEY:
                self.keeper.note_key_refused(request.key)
            raise RouterError(ErrorKind.NOT_OWNER, "the endpoint answered 421")
        self._note_failure(True)
        if answer.status in OVERLOAD_STATUSES:
            self.gate.capacity.note_rejected(len(self.gate.running), boottime())
        raise RouterError(
            ErrorKind.ENDPOINT_REFUSED, f"the endpoint answered {answer.status}"
        )

    def _note_hang(self, request: Forward, waited_s: float) -> None:
        if waited_s > HANG_FACTOR * self.gate.expected_time(request.route):
            self.counters["hangs"] += 1
            self.gate.capacity.note_rejected(len(self.gate.running), boottime())

    def _note_failure(self, failed: bool) -> None:
        self.failure_share += FAILURE_WEIGHT * (float(failed) - self.failure_share)

    def _resolve_waiters(self, dequeued: Dequeued) -> None:
        for ticket in dequeued.started:
            future = self.start_futures.get(ticket)
            if future is None or future.done():
                continue
            future.set_result(None)
        for ticket in dequeued.expired:
            future = self.start_futures.get(ticket)
            if future is not None and not future.done():
                future.set_exception(RouterError(ErrorKind.OVERLOADED, "queued"))

    def _reject_queue(self) -> None:
        for ticket in list(self.gate.queued):
            self.gate.cancel(ticket)
            future = self.start_futures.get(ticket)
            if future is not None and not future.done():
                future.set_exception(
                    RouterError(
                        ErrorKind.NO_ENDPOINT, "the endpoint takes no more requests"
                    )
                )

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.gate.queued and not self.may_serve(self.keeper is not None):
                self.counters["refused_evacuated"] += len(self.gate.queued)
                self._reject_queue()
            if self.gate.running:
                now = boottime()
                self.gate.follow(now)
                self.capacity_log.note(self.info.id, now)
            if self.gate.queued or self.cold.is_assumed:
                self._poll_gate()
