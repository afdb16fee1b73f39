"""An endpoint whose failure domain is evacuated while requests wait."""

import asyncio

import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.messages import NO_KEY, Forward
from sesamepost.internal.forwarding.routes import Service
from sesamepost.platform.names import HEADERS
from tests.waiting import until

REQUEST = Forward(1, "id", "r", "s", NO_KEY, "POST", "/", (), b"", 5000, 5000, 0, 0)


class HangingPool(EndpointPool):
    """Never returns a response."""

    async def send(self, *request):
        await asyncio.Event().wait()


async def test_requests_that_wait_are_refused_and_those_that_run_go_on():
    # Guards against a waiting request that is sent seconds after the evacuation.
    async with LocalEndpoint(HangingPool(("", 0), HEADERS), HEADERS) as local:
        local.set_services({"s": Service("s", False, 10, "/health")})
        local.set_info(EndpointInfo("s", "i", 1, 1, "v", True))
        running, waiting = (asyncio.ensure_future(local.run(REQUEST)) for _ in range(2))
        await until(lambda: local.gate.queued)
        local.may_serve = lambda has_key: has_key
        for request in (waiting, local.run(REQUEST)):
            with pytest.raises(RouterError) as refused:
                await request
            assert refused.value.kind is ErrorKind.NO_ENDPOINT
        assert local.counters["sent"] == 1
        assert not running.done()
        running.cancel()
