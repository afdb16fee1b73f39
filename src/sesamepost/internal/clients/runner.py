"""Serves an application of ``aiohttp`` with bounds for its clients."""

from aiohttp import web

from sesamepost.internal.clients.limits import ClientLimits
from sesamepost.internal.clients.refusals import Refusals
from sesamepost.internal.clients.server import BoundedServer


class BoundedAppRunner(web.AppRunner):
    """Runs an application in a ``BoundedServer``."""

    def __init__(
        self,
        app: web.Application,
        client_limits: ClientLimits,
        refusals: Refusals,
        **options,
    ) -> None:
        super().__init__(app, **options)
        self.client_limits = client_limits
        self.refusals = refusals

    async def _make_server(self) -> BoundedServer:
        server = await super()._make_server()
        options = {**server._kwargs}
        options.pop("logger", None)
        return BoundedServer(
            server.request_handler,
            client_limits=self.client_limits,
            refusals=self.refusals,
            request_factory=server.request_factory,
            **options,
        )
