"""HTTP servers for heartbeats of the worker, readiness and metrics."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any

import structlog
from aiohttp import web
from msgspec import Meta, Struct
from msgspec.json import Decoder

from sesamepost.internal.clients.limits import ClientLimits
from sesamepost.internal.clients.refusals import Refusals
from sesamepost.internal.clients.runner import BoundedAppRunner
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.node import Node
from sesamepost.internal.limits import MAX_NAME_LENGTH, Count, Name, Slots
from sesamepost.internal.ranges.heartbeat_holds import (
    ANSWER_TIMEOUT_S,
    HeldRange,
    HoldOrder,
    HoldReport,
    ReleasedRange,
)
from sesamepost.internal.ranges.table import LAST_KEY
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.names import (
    HEARTBEAT_PATH,
    LEAVE_PATH,
    METRICS_PATH,
    READY_PATH,
)

MAX_REPORTED_RANGES = 4096
MAX_COLD_S = 600.0
# A heartbeat with the largest number of ranges and of tokens has about 400 KB.
MAX_MESSAGE_BYTES = 512 << 10

Key = Annotated[int, Meta(ge=0, le=LAST_KEY)]

# The platform and the worker need one connection to each port at a time. Connections
# that are waiting to be answered may overlap with new ones.
CLIENT_LIMITS = ClientLimits(connections=24, request_bytes=4 << 20)

# The confirmation of a leave waits this long until the store knows of it, so that it
# binds the next process of the node as well.
LEAVE_WRITE_TIMEOUT_S = 0.5

READY_STATE = "ready"
DRAINING_STATE = "draining"
# Later than any start time, as Unix time in milliseconds.
UNKNOWN_START_MS = 1 << 62

log = structlog.get_logger()


class HeartbeatError(ValueError):
    """A heartbeat is invalid; the message names the field."""


class ServiceFields(Struct):
    """What a worker says about its service."""

    service: Name
    version: Name
    slots: Slots


class StatusFields(Struct, rename="camel"):
    """What a worker says about itself; ``sequence`` rises with each heartbeat.

    ``cold_remaining_s`` is the time for which it stays cold. A value that is not a
    valid time counts as none.
    """

    state: Name
    sequence: Count
    cold_remaining_s: Any = 0.0


class HeartbeatFields(Struct, rename="camel"):
    """A heartbeat; ``born`` is the worker's start as Unix time in milliseconds.

    ``holds`` are rows of the first key, the last key and the fence, ``released`` rows
    of the first key, the last key and the handover token.
    """

    address: Name
    service_info: ServiceFields
    status: StatusFields
    born: Count
    holds: Annotated[
        list[tuple[Key, Key, Count]], Meta(max_length=MAX_REPORTED_RANGES)
    ] = []
    released: Annotated[
        list[tuple[Key, Key, Name]], Meta(max_length=MAX_REPORTED_RANGES)
    ] = []


class LeaveFields(Struct):
    """The body of a leave message, all of which is optional."""

    born: Count = UNKNOWN_START_MS


_HEARTBEAT_DECODER = Decoder(HeartbeatFields)
_LEAVE_DECODER = Decoder(LeaveFields)
_encode_text = partial(json.dumps, separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A valid heartbeat of the worker."""

    endpoint: EndpointInfo
    sequence: int
    cold_s: float
    held: tuple[HeldRange, ...]
    released: tuple[ReleasedRange, ...]


def decode_heartbeat(worker_id: str, data: bytes, own_address: str) -> Heartbeat:
    """Return the heartbeat of a worker.

    Raise ``HeartbeatError`` if the heartbeat is invalid or has another address.
    """
    try:
        fields = _HEARTBEAT_DECODER.decode(data)
    except (ValueError, RecursionError) as error:
        raise HeartbeatError(f"it cannot be read: {error}") from None
    if fields.address != own_address:
        raise HeartbeatError(f"address is {fields.address!r}, not {own_address!r}")
    if fields.status.state not in (READY_STATE, DRAINING_STATE):
        raise HeartbeatError(f"state is {fields.status.state!r}")
    if len(worker_id) > MAX_NAME_LENGTH:
        raise HeartbeatError(f"the id has {len(worker_id)} characters")
    for first, last, _ in (*fields.holds, *fields.released):
        if first > last:
            raise HeartbeatError(f"the range from {first} to {last} is empty")
    endpoint = EndpointInfo(
        fields.service_info.service,
        worker_id,
        fields.born,
        fields.service_info.slots,
        fields.service_info.version,
        fields.status.state == READY_STATE,
    )
    return Heartbeat(
        endpoint,
        fields.status.sequence,
        _cold_s(fields.status.cold_remaining_s),
        tuple(HeldRange(*row) for row in fields.holds),
        tuple(ReleasedRange(*row) for row in fields.released),
    )


def _cold_s(value: Any) -> float:
    """Return for how long a worker stays cold, 0 if ``value`` is no valid time."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_COLD_S:
        return 0.0
    return float(value)


def encode_order(order: HoldOrder | None) -> dict:
    """Return the fields of the answer to a heartbeat; without holds it renews none."""
    if order is None:
        return {}
    rows = [[r.first, r.last, r.fence, r.handover] for r in order.ranges]
    return {"holds": rows, "holdS": round(order.hold_s, 3)}


def decode_leave(data: bytes) -> int:
    """Return the start time of the leaving worker, as Unix time in milliseconds.

    Return ``UNKNOWN_START_MS`` if the body has none. The worker's id alone identifies
    it, so an invalid body is accepted.
    """
    try:
        return _LEAVE_DECODER.decode(data).born
    except (ValueError, RecursionError):
        return UNKNOWN_START_MS


class ControlPlane:
    """Serves the HTTP ports that the platform and the worker call."""

    def __init__(self, node: Node) -> None:
        self.node = node
        endpoint = node.settings.endpoint_address
        self.own_address = f"{endpoint.host}:{endpoint.port}"
        self.stack = AsyncExitStack()
        self.unreadable_heartbeats = 0
        self.refusals = Refusals()
        # The connection and the time of the last answer to a heartbeat.
        self.answered_on: asyncio.Transport | None = None
        self.answered_at = float("-inf")

    async def __aenter__(self) -> "ControlPlane":
        settings = self.node.settings
        await self._listen(
            settings.heartbeat_address,
            [
                web.post(HEARTBEAT_PATH, self._heartbeat),
                web.post(LEAVE_PATH, self._leave),
            ],
        )
        await self._listen(settings.ready_address, [web.get(READY_PATH, self._ready)])
        await self._listen(
            Address(settings.vm, settings.metrics_port),
            [web.get(METRICS_PATH, self._metrics)],
        )
        return self

    async def __aexit__(self, *error) -> None:
        await self.stack.aclose()

    async def _listen(self, address: Address, routes: list) -> None:
        app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
        app.add_routes(routes)
        runner = BoundedAppRunner(
            app,
            CLIENT_LIMITS,
            self.refusals,
            handle_signals=False,
            access_log=None,
            shutdown_timeout=0.2,
            # A message that is too large is not read to its end.
            lingering_time=0.0,
        )
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()

    async def _heartbeat(self, request: web.Request) -> web.Response:
        data = await request.read()
        try:
            heartbeat = decode_heartbeat(
                request.match_info["id"], data, self.own_address
            )
            service = heartbeat.endpoint.service
            if not self.node.is_known_service(service):
                raise HeartbeatError(f"no service is named {service!r}")
        except HeartbeatError as error:
            self.unreadable_heartbeats += 1
            log.warning("check_in_unreadable", error=str(error))
            return web.json_response({"error": str(error)}, status=400)
        report = HoldReport(
            heartbeat.held, heartbeat.released, self._follows_answer(request)
        )
        order = await self.node.ownership.answer_heartbeat(
            heartbeat.endpoint, heartbeat.sequence, report
        )
        self.node.local.note_cold(heartbeat.endpoint.incarnation, heartbeat.cold_s)
        if not heartbeat.endpoint.is_ready:
            await self._publish_leave()
        self.answered_on = request.transport
        self.answered_at = boottime()
        return web.json_response(encode_order(order), dumps=_encode_text)

    def _follows_answer(self, request: web.Request) -> bool:
        """Return whether the worker sent this after it had read the last answer.

        It has read that answer if it uses the same connection again.
        """
        is_late = boottime() - self.answered_at >= ANSWER_TIMEOUT_S
        return is_late or request.transport is self.answered_on

    async def _leave(self, request: web.Request) -> web.Response:
        born = decode_leave(await request.read())
        self.node.ownership.note_leave(request.match_info["id"], born)
        await self._publish_leave()
        return web.json_response({})

    async def _publish_leave(self) -> None:
        await self.node.ownership.registration.wait_until_written(LEAVE_WRITE_TIMEOUT_S)

    async def _ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.node.is_ready else 503)

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.node.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )
