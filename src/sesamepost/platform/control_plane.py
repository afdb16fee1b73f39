"""HTTP servers for heartbeats of the worker, readiness and metrics."""

from contextlib import AsyncExitStack

import structlog
from aiohttp import web
from msgspec import Struct
from msgspec.json import Decoder

from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.node import Node
from sesamepost.internal.limits import MAX_NAME_LENGTH, Count, Name, Slots
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.names import (
    HEARTBEAT_PATH,
    LEAVE_PATH,
    METRICS_PATH,
    READY_PATH,
)

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


class StatusFields(Struct):
    """What a worker says about itself; ``sequence`` rises with each heartbeat."""

    state: Name
    sequence: Count


class HeartbeatFields(Struct, rename="camel"):
    """A heartbeat; ``born`` is the worker's start as Unix time in milliseconds."""

    address: Name
    service_info: ServiceFields
    status: StatusFields
    born: Count


class LeaveFields(Struct):
    """The body of a leave message, all of which is optional."""

    born: Count = UNKNOWN_START_MS


_HEARTBEAT_DECODER = Decoder(HeartbeatFields)
_LEAVE_DECODER = Decoder(LeaveFields)


def decode_heartbeat(
    worker_id: str, data: bytes, own_address: str
) -> tuple[EndpointInfo, int]:
    """Return the worker and its sequence number.

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
    endpoint = EndpointInfo(
        fields.service_info.service,
        worker_id,
        fields.born,
        fields.service_info.slots,
        fields.service_info.version,
        fields.status.state == READY_STATE,
    )
    return endpoint, fields.status.sequence


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
        app = web.Application()
        app.add_routes(routes)
        runner = web.AppRunner(
            app, handle_signals=False, access_log=None, shutdown_timeout=0.2
        )
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()

    async def _heartbeat(self, request: web.Request) -> web.Response:
        data = await request.read()
        try:
            endpoint, sequence = decode_heartbeat(
                request.match_info["id"], data, self.own_address
            )
        except HeartbeatError as error:
            self.unreadable_heartbeats += 1
            log.warning("check_in_unreadable", error=str(error))
            return web.json_response({"error": str(error)}, status=400)
        self.node.watch.note_heartbeat(endpoint, sequence)
        return web.json_response({})

    async def _leave(self, request: web.Request) -> web.Response:
        born = decode_leave(await request.read())
        self.node.watch.note_leave(request.match_info["id"], born)
        return web.json_response({})

    async def _ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.node.is_ready else 503)

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.node.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )
