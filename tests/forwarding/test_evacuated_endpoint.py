"""An endpoint whose failure domain is evacuated while requests arrive and wait."""

import asyncio

import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.messages import NO_KEY, Forward
from sesamepost.platform.names import HEADERS
from tests.waiting import until

REQUEST = Forward(1, "id", "r", "s", NO_KEY, "POST", "/", (), b"", 5000, 5000, 0, 0)


class HangingPool:
    """Counts the requests that are sent and answers none."""

    sent = 0

    def close_idle(self) -> None:
        pass

    async def send(self, *request) -> None:
        self.sent += 1
        await asyncio.Event().wait()


async def test_requests_that_wait_are_refused_and_those_that_run_go_on():
    # Guards against EVAC: a request that waits for a slot is sent seconds later.
    pool = HangingPool()
    async with LocalEndpoint(pool, HEADERS) as local:
        local.set_info(EndpointInfo("s", "i", 1, 1, "v", True))
        running = asyncio.ensure_future(local.run(REQUEST))
        waiting = asyncio.ensure_future(local.run(REQUEST))
        await until(lambda: pool.sent == 1 and len(local.gate.queued) == 1)
        local.may_serve = lambda has_key: has_key
        for request in (waiting, local.run(REQUEST)):
            with pytest.raises(RouterError) as refused:
                await request
            assert refused.value.kind is ErrorKind.NO_ENDPOINT
        assert pool.sent == 1
        assert not running.done()
        assert local.counters["refused_evacuated"] == 2
        running.cancel()
