"""Fixtures for a store, a fake daemon for operators, and a context for both."""

import pytest
from aiohttp import web

from sesamepost.internal.cli.context import Context
from sesamepost.internal.store.http import HttpStore
from sesamepost.standins.store import StoreStandIn


class FakeDaemon:
    """Serves ``/status``, ``/fleet`` and ``/owner`` with data that the test sets."""

    def __init__(self):
        self.states = {vm: "active" for vm in ("vm-1", "vm-2", "vm-3")}
        self.documents = {"settings/lahore": 1}
        self.rejected = {}
        self.services = {"ledger": ["vm-1", "vm-2"], "reminders": ["vm-3"]}
        self.reports = {vm: {"settings/lahore": 1} for vm in self.states}
        self.failing_calls = 0
        self.calls = 0
        self.on_call = None

    async def start(self):
        application = web.Application(middlewares=[self.count_call])
        application.add_routes(
            [
                web.get("/status", self.status),
                web.get("/fleet", self.fleet),
                web.get("/owner", self.owner),
            ]
        )
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}"

    @web.middleware
    async def count_call(self, request, handler):
        self.calls += 1
        if self.on_call is not None:
            self.on_call()
        if self.failing_calls:
            self.failing_calls -= 1
            return web.Response(status=503)
        return await handler(request)

    async def status(self, request):
        fleet = [
            {
                "vm": vm,
                "node": f"{vm}@00000000000000aa",
                "failure_domain": "a1",
                "region": "a",
                "state": state,
                "address": "10.0.0.1:7001",
                "added_by_a_newer_daemon": 1,
            }
            for vm, state in self.states.items()
        ]
        return web.json_response(
            {
                "node": "vm-1@00000000000000aa",
                "fleet": fleet,
                "controller": "vm-1@00000000000000aa",
                "documents": self.documents,
                "rejected": self.rejected,
                "waiting": {},
                "services": self.services,
            }
        )

    async def fleet(self, request):
        nodes = {
            vm: {"documents": documents, "age_s": 0.5}
            for vm, documents in self.reports.items()
        }
        return web.json_response({"nodes": nodes})

    async def owner(self, request):
        service, key = request.query["service"], request.query["key"]
        if service not in self.services:
            return web.Response(status=404, text=f"no service {service}\n")
        owner = "vm-3@00000000000000aa" if key == "a/b c" else None
        return web.json_response(
            {
                "service": service,
                "key": key,
                "partition": 7,
                "owner": owner,
                "epoch": 12,
            }
        )


@pytest.fixture
async def standin():
    async with StoreStandIn() as server:
        yield server


@pytest.fixture
async def store(standin):
    async with HttpStore(standin.url) as client:
        yield client


@pytest.fixture
async def daemon():
    fake = FakeDaemon()
    await fake.start()
    yield fake
    await fake.runner.cleanup()


@pytest.fixture
def context(standin, daemon):
    return Context(standin.url, daemon.url, False)
