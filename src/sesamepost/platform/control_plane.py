"""HTTP servers for heartbeats of the worker, readiness and metrics."""

import json
from contextlib import AsyncExitStack

import structlog
from aiohttp import web

from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.node import Node
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


def decode_heartbeat(
    worker_id: str, data: bytes, own_address: str
) -> tuple[EndpointInfo, int]:
    """Return the worker and its sequence number.

    Raise ``HeartbeatError`` if the heartbeat is invalid or has another address.
    """
    try:
        fields = json.loads(data)
        info = fields["serviceInfo"]
        status = fields["status"]
        state = status["state"]
        if fields["address"] != own_address:
            raise HeartbeatError(
                f"address is {fields['address']!r}, not {own_address!r}"
            )
        if state not in (READY_STATE, DRAINING_STATE):
            raise HeartbeatError(f"state is {state!r}")
        numbers = {
            "slots": info["slots"],
            "sequence": status["sequence"],
            "born": fields["born"],
        }
        texts = {"service": info["service"], "version": info["version"]}
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, HeartbeatError):
            raise
        raise HeartbeatError(f"it cannot be read: {error!r}") from None
    for name, value in numbers.items():
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            raise HeartbeatError(f"{name} is {value!r}, not a whole number")
    for name, value in texts.items():
        if not isinstance(value, str):
            raise HeartbeatError(f"{name} is {value!r}, not text")
    endpoint = EndpointInfo(
        texts["service"],
        worker_id,
        numbers["born"],
        numbers["slots"],
        texts["version"],
        state == READY_STATE,
    )
    return endpoint, numbers["sequence"]


def decode_leave(data: bytes) -> int:
    """Return the start time of the leaving worker, as Unix time in milliseconds.

    Return ``UNKNOWN_START_MS`` if the body has none. The worker's id alone identifies
    it, so an invalid body is accepted.
    """
    try:
        born = json.loads(data)["born"]
    except (ValueError, KeyError, TypeError):
        return UNKNOWN_START_MS
    is_number = isinstance(born, int) and not isinstance(born, bool)
    return born if is_number else UNKNOWN_START_MS


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
