"""Health, readiness, metrics and status for operators and ``sesamepostctl``."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from sesamepost.internal.documents.views import Rejection, Views
from sesamepost.internal.identity import NodeId, hash_key
from sesamepost.internal.wire.pool import Address

FORWARD_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class FleetSource:
    """Data and callbacks from which the operators' port is served.

    ``not_ready_reason`` returns an empty string if the daemon is ready.
    ``fleet_versions`` asks the controller which document versions each node has in
    force, and returns None if the controller is out of reach. ``services`` maps each
    service to the VMs that have an endpoint in service.
    """

    node: NodeId
    views: Views
    not_ready_reason: Callable[[], str]
    fleet_versions: Callable[[], Awaitable[dict | None]]
    services: Callable[[], dict[str, list[str]]]
    render_metrics: Callable[[], bytes]
    process_usage: Callable[[], dict]


class OperatorServer:
    """Serves the operators' paths, such as ``/ready``, ``/metrics`` and ``/status``."""

    def __init__(self, source: FleetSource) -> None:
        self.source = source
        self.runner: web.AppRunner | None = None

    async def listen(self, address: Address) -> Address:
        """Listen at ``address`` and return the bound address."""
        app = web.Application()
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/status", self._status)
        app.router.add_get("/fleet", self._fleet)
        app.router.add_get("/owner", self._owner)
        self.runner = web.AppRunner(app, handle_signals=False, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, *address).start()
        return Address(*self.runner.addresses[0][:2])

    async def __aenter__(self) -> "OperatorServer":
        return self

    async def __aexit__(self, *error) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        reason = self.source.not_ready_reason()
        if reason:
            return web.Response(status=503, text=f"{reason}\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.source.render_metrics(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    async def _status(self, request: web.Request) -> web.Response:
        views = self.source.views
        controller = views.controller
        return web.json_response(
            {
                "node": str(self.source.node),
                "fleet": [
                    {
                        "vm": record.node.vm,
                        "node": str(record.node),
                        "failure_domain": record.failure_domain,
                        "region": record.region,
                        "state": record.state.name.lower(),
                        "address": f"{record.address.host}:{record.address.port}",
                    }
                    for record in views.fleet
                ],
                "controller": None if controller is None else str(controller.node),
                "documents": dict(views.in_force),
                "rejected": _format_rejections(views.rejected),
                "waiting": _format_rejections(views.waiting),
                "services": self.source.services(),
                "process": self.source.process_usage(),
            }
        )

    async def _fleet(self, request: web.Request) -> web.Response:
        nodes = await self.source.fleet_versions()
        if nodes is None:
            return web.Response(status=503, text="the controller is out of reach\n")
        return web.json_response({"nodes": nodes})

    async def _owner(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        key = request.query.get("key", "")
        if not service or not key:
            return web.Response(
                status=400,
                text="service and key are required, as in"
                " /owner?service=SERVICE&key=KEY\n",
            )
        assignment = self.source.views.assignments.get(service)
        if assignment is None:
            return web.Response(
                status=404, text=f"no assignment of service {service!r} is known\n"
            )
        placement = assignment.find(hash_key(key))
        owner = placement.owner
        return web.json_response(
            {
                "service": service,
                "key": key,
                "partition": placement.partition,
                "owner": None if owner is None else str(owner),
                "epoch": placement.epoch,
            }
        )


def _format_rejections(documents: dict[str, Rejection]) -> dict[str, dict]:
    return {
        name: {"version": rejection.version, "reason": rejection.reason}
        for name, rejection in documents.items()
    }
