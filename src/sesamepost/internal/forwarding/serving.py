"""Runs requests from other nodes at the local endpoint."""

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.forwarder import to_message
from sesamepost.internal.forwarding.link_room import LinkFullError, LinkRoom
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.messages import Forward, LinkFull, LoadHint
from sesamepost.internal.ranges.messages import RangeUpdate
from sesamepost.internal.wire.link import class_of_rank
from sesamepost.internal.wire.messages import Answer, Cancel, Refusal
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

# Minimum interval between the hints that are sent along with answers on one stream.
HINT_INTERVAL_S = 0.1

log = structlog.get_logger()


class PeerService:
    """Handles ``Forward`` messages and cancels requests that no peer waits for.

    ``is_refusing`` returns whether requests for a service are refused because the node
    is stopping. ``range_of`` returns the current range of a key of a service.
    """

    def __init__(
        self, pool: PeerPool, local: LocalEndpoint, loads: LoadTracker
    ) -> None:
        self.local = local
        self.loads = loads
        self.tasks: dict[tuple[PeerStream, int], asyncio.Task] = {}
        self.is_refusing: Callable[[str], bool] = lambda service: False
        self.range_of: Callable[[str, int], RangeUpdate | None] = lambda service, key: (
            None
        )
        self.link_room = LinkRoom(pool.link)
        self.hint_sent_at: dict[PeerStream, float] = {}
        self.counters: Counter[str] = Counter()
        pool.on(Forward, self._on_forward)
        pool.on(Cancel, self._on_cancel)
        pool.on(LoadHint, self._on_hint)
        pool.closed_listeners.append(self._on_closed)

    async def __aenter__(self) -> "PeerService":
        return self

    async def __aexit__(self, *error) -> None:
        for task in list(self.tasks.values()):
            task.cancel()

    async def wait_until_idle(self) -> None:
        """Wait until no request from another node is in progress."""
        while self.tasks:
            await asyncio.wait(list(self.tasks.values()))

    def _on_forward(self, stream: PeerStream, request: Forward) -> None:
        if self.is_refusing(request.service):
            self.counters["refused_while_stopping"] += 1
            stream.send(Refusal(request.id, ErrorKind.SHUTTING_DOWN, "", 0))
            return
        key = (stream, request.id)
        task = asyncio.ensure_future(self._run(stream, request))
        self.tasks[key] = task
        task.add_done_callback(lambda _: self.tasks.pop(key, None))

    def _on_cancel(self, stream: PeerStream, cancel: Cancel) -> None:
        task = self.tasks.get((stream, cancel.id))
        if task is not None:
            self.counters["cancelled"] += 1
            task.cancel()
        elif self.link_room.discard_answer((stream, cancel.id)):
            self.counters["answers_discarded"] += 1

    def _on_hint(self, stream: PeerStream, hint: LoadHint) -> None:
        self.loads.note_hint(stream.peer.vm, hint, boottime())

    def _on_closed(self, stream: PeerStream) -> None:
        if stream.peer is not None:
            reason = stream.closed_reason
            log.info("peer_stream_closed", peer=str(stream.peer), reason=reason)
        self.hint_sent_at.pop(stream, None)
        for (owner, _), task in list(self.tasks.items()):
            if owner is stream:
                self.counters["ended_with_stream"] += 1
                task.cancel()

    async def _run(self, stream: PeerStream, request: Forward) -> None:
        try:
            reply = await self._run_if_link_has_room(request)
        except RouterError as error:
            if isinstance(error, LinkFullError):
                self._send_wait(stream, request.route, error.wait_s)
            reply = Refusal(request.id, error.kind, error.detail, 0)
            log.info(
                "request_refused",
                request=request.request_id,
                peer=stream.peer.vm,
                key=request.key,
                kind=error.kind,
                detail=error.detail,
                running=len(self.local.gate.running),
                queued=len(self.local.gate.queued),
            )
        except Exception:
            log.exception("request_failed", request=request.request_id)
            reply = Refusal(request.id, ErrorKind.INTERNAL, "", 0)
        try:
            self._send_hint(stream, isinstance(reply, Refusal))
            if isinstance(reply, Refusal) and reply.kind == ErrorKind.NOT_OWNER:
                self._send_range(stream, request)
            message = stream.send(reply, link_class=class_of_rank(request.rank))
            self.link_room.note_queued((stream, request.id), message)
        except StreamClosedError as error:
            log.info("answer_lost", request=request.request_id, reason=str(error))

    async def _run_if_link_has_room(self, request: Forward) -> Answer:
        self.local.check_service(request)
        time_s = self.local.gate.expected_time(request.route)
        now = asyncio.get_running_loop().time()
        with self.link_room.reserve(request, time_s, now) as admitted:
            answer = await self.local.run(admitted)
        self.link_room.note_answer(request.route, len(answer.body))
        return to_message(request.id, answer)

    def _send_wait(self, stream: PeerStream, route: str, wait_s: float) -> None:
        if stream.is_open:
            stream.send(LinkFull(route, int(wait_s * 1000)))

    def _send_range(self, stream: PeerStream, request: Forward) -> None:
        """Send the key's range before the refusal, so that the peer finds the owner.

        The peer's watch of the store may report the change half a second later.
        """
        message = self.range_of(request.service, request.key)
        if message is not None:
            stream.send(message)

    def _send_hint(self, stream: PeerStream, ignore_interval: bool) -> None:
        now = boottime()
        if (
            not ignore_interval
            and now - self.hint_sent_at.get(stream, 0.0) < HINT_INTERVAL_S
        ):
            return
        self.hint_sent_at[stream] = now
        stream.send(self.local.hint())
