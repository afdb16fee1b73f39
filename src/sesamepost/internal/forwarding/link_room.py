"""Admits requests of other nodes whose answers pass the link of this VM in time."""

from collections import Counter
from collections.abc import Hashable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.forwarding.messages import Forward
from sesamepost.internal.wire.frames import SMALL_MESSAGE_BYTES
from sesamepost.internal.wire.link import BulkMessage, class_of_rank
from sesamepost.internal.wire.link_sender import LinkSender

# Weight of the newest answer in the mean size of its route.
SIZE_WEIGHT = 0.1
# An unusually large answer counts as at most this multiple of the mean.
MAX_SIZE_FACTOR = 4
# Bounds the memory; operators may define hundreds of routes.
MAX_ROUTES = 1000
# A longer queue carries no more bytes, it only makes all answers later. Senders choose
# an endpoint in another region if those nearby take most of the target latency.
TARGET_SHARE = 0.6
# Share of its remaining time that a request with little or no time to its target waits.
LATE_SHARE = 0.3
# An answer may wait for another one of its size, even if both take long.
SIZE_FACTOR = 2.0
# Time from the link of this VM to the caller.
PATH_TIME_S = 0.05
MIN_WAIT_S = 0.05
# From this number on, the handles of answers that have been written are dropped.
MAX_WRITTEN_HANDLES = 64

CallId = Hashable


class LinkFullError(RouterError):
    """The link has no room for a message in time; it has after ``wait_s``."""

    def __init__(self, detail: str, wait_s: float) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)
        self.wait_s = wait_s


@dataclass(frozen=True, slots=True)
class UnderWay:
    """Requests of one route and class whose answers are not complete yet."""

    route: str
    link_class: int


class LinkRoom:
    """Decides whether the answer of a request passes the link before it is due.

    Answers are expected to have the mean size of those on their route. A request counts
    from its admission until its answer is queued on the link, so that the requests of
    a burst do not all take the same room. ``now`` is a time of the event loop's clock.

    Example::

        with room.reserve(request, time_s, now) as admitted:
            answer = await endpoint.run(admitted)
            room.note_answer(request.route, len(answer.body))
            stream.send(answer)
    """

    def __init__(self, link: LinkSender) -> None:
        self.link = link
        self.mean_bytes: dict[str, float] = {}
        self.under_way: Counter[UnderWay] = Counter()
        self.queued: dict[CallId, BulkMessage] = {}
        self.queued_limit = MAX_WRITTEN_HANDLES
        self.counters: Counter[str] = Counter()

    @contextmanager
    def reserve(self, request: Forward, time_s: float, now: float) -> Iterator[Forward]:
        """Reserve room for an answer that the endpoint has in about ``time_s``.

        Yields the request with the time that is left to the endpoint if the answer must
        then pass the link. Raises ``LinkFullError`` if it would be late because of it.
        """
        kind = UnderWay(request.route, class_of_rank(request.rank))
        if not self._is_idle(kind, now):
            self._check_memory(kind)
            self._check_time(request, kind, time_s, now)
        self.under_way[kind] += 1
        try:
            yield self._shortened(request)
        finally:
            self.under_way[kind] -= 1
            if not self.under_way[kind]:
                del self.under_way[kind]

    def note_answer(self, route: str, size: int) -> None:
        """Record the size of an answer on ``route``."""
        if route not in self.mean_bytes and len(self.mean_bytes) >= MAX_ROUTES:
            self.mean_bytes.clear()
        mean = self.mean_bytes.get(route, size)
        counted = min(size, MAX_SIZE_FACTOR * max(mean, SMALL_MESSAGE_BYTES))
        self.mean_bytes[route] = mean + SIZE_WEIGHT * (counted - mean)

    def note_queued(self, call: CallId, message: BulkMessage | None) -> None:
        """Remember the answer of a call, if it waits for the link."""
        if message is None:
            return
        self.queued[call] = message
        if len(self.queued) >= self.queued_limit:
            self.queued = {c: m for c, m in self.queued.items() if m.is_unwritten}
            self.queued_limit = MAX_WRITTEN_HANDLES + 2 * len(self.queued)

    def discard_answer(self, call: CallId) -> bool:
        """Discard an answer that nobody waits for, unless a part of it is written."""
        message = self.queued.pop(call, None)
        return message is not None and self.link.cancel(message)

    def expected_bytes(self, link_class: int | None = None) -> float:
        """Return the expected bytes of answers under way.

        Only classes that are as urgent as ``link_class`` or more count, if it is given.
        """
        return sum(
            count * self.mean_bytes.get(kind.route, 0.0)
            for kind, count in self.under_way.items()
            if link_class is None or kind.link_class <= link_class
        )

    def _is_idle(self, kind: UnderWay, now: float) -> bool:
        """Return whether nothing is ahead of the answer to a request of this kind.

        One is then let through whatever is expected of it: expected sizes and times are
        learned only from requests that run.
        """
        is_first = not any(other.route == kind.route for other in self.under_way)
        queue_s = self.link.scheduler.time_to_pass(0.0, kind.link_class, now)
        return is_first and queue_s <= MIN_WAIT_S

    def _check_memory(self, kind: UnderWay) -> None:
        size = self.mean_bytes.get(kind.route, 0.0)
        if size <= SMALL_MESSAGE_BYTES:
            return
        used = self.link.scheduler.total_bytes + self.expected_bytes() + size
        if used > self.link.memory_bytes:
            self.counters["refused_for_memory"] += 1
            detail = f"{used:.0f} bytes would wait for the link"
            raise LinkFullError(detail, MIN_WAIT_S)

    def _check_time(
        self, request: Forward, kind: UnderWay, time_s: float, now: float
    ) -> None:
        scheduler = self.link.scheduler
        size = self._large_bytes(request.route)
        if not size:
            return
        ahead = self.expected_bytes(kind.link_class)
        queue_s = scheduler.time_to_pass(ahead + size, kind.link_class, now)
        alone_s = time_s + scheduler.time_alone(size)
        remaining_s = request.timeout_ms / 1000 - PATH_TIME_S
        target_s = request.target_latency_ms / 1000 - PATH_TIME_S
        due_s = min(
            remaining_s,
            max(
                target_s * TARGET_SHARE,
                remaining_s * LATE_SHARE,
                scheduler.time_alone(size) * SIZE_FACTOR,
            ),
        )
        if queue_s <= due_s and alone_s <= remaining_s:
            return
        self.counters["refused_for_time"] += 1
        raise LinkFullError(
            f"the link needs {max(queue_s, alone_s):.2f} s,"
            f" the answer is due in {due_s:.2f} s",
            max(MIN_WAIT_S, queue_s - due_s),
        )

    def _shortened(self, request: Forward) -> Forward:
        size = self._large_bytes(request.route)
        if not size:
            return request
        link_ms = int(self.link.scheduler.time_alone(size) * 1000)
        # An answer that is expected to be too large may be shorter.
        timeout_ms = max(request.timeout_ms // 2, request.timeout_ms - link_ms)
        return replace(
            request,
            timeout_ms=max(1, timeout_ms),
            target_latency_ms=max(0, request.target_latency_ms - link_ms),
        )

    def _large_bytes(self, route: str) -> float:
        """Return the mean size of answers on a route, or 0 if they need not wait."""
        scheduler = self.link.scheduler
        size = self.mean_bytes.get(route, 0.0)
        if not scheduler.is_paced or size <= scheduler.small_message_bytes:
            return 0.0
        return size


def admit_body(link: LinkSender, request: Forward, now: float) -> Forward:
    """Return the request with the time that is left once its body has passed the link.

    Raise ``LinkFullError`` if the body cannot be sent in time.
    """
    scheduler = link.scheduler
    size = len(request.body)
    if not scheduler.is_paced or size <= scheduler.small_message_bytes:
        return request
    link_class = class_of_rank(request.rank)
    queue_s = scheduler.time_to_pass(size, link_class, now)
    due_s = request.timeout_ms / 1000 - PATH_TIME_S
    if queue_s > due_s:
        raise LinkFullError(
            f"the link needs {queue_s:.2f} s for the request,"
            f" its deadline is in {due_s:.2f} s",
            max(MIN_WAIT_S, queue_s - due_s),
        )
    queue_ms = int(queue_s * 1000)
    return replace(
        request,
        timeout_ms=max(1, request.timeout_ms - queue_ms),
        target_latency_ms=max(0, request.target_latency_ms - queue_ms),
    )
