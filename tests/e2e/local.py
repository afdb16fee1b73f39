"""Daemons, endpoints and a store in one event loop, connected by real sockets."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp

from sesamepost.internal.clock import boottime
from sesamepost.internal.daemon.daemon import Daemon
from sesamepost.internal.settings.branch import parse_branch
from sesamepost.internal.settings.claims import claim_services
from sesamepost.internal.settings.model import ProcessSettings
from sesamepost.internal.store.envelope import write_document
from sesamepost.internal.store.http import HttpStore
from sesamepost.internal.wire.pool import Address
from sesamepost.standins.endpoint import EndpointStandIn
from sesamepost.standins.store import StoreStandIn

ANY_PORT = Address("127.0.0.1", 0)
WAIT_TIMEOUT_S = 15.0
QUIET_PERIOD_S = 2.5
POLL_INTERVAL_S = 0.02
BRANCH = """\
[team]

[service:ledger]
partitions = 16
slots = 4
timeout_ms = 3000
"""


@dataclass(slots=True, eq=False)
class Vm:
    """One daemon and its endpoint."""

    daemon: Daemon
    endpoint: EndpointStandIn
    stack: AsyncExitStack
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    run_task: asyncio.Task | None = None

    @property
    def peers(self):
        return self.daemon.membership.own_record.address

    @property
    def callers(self):
        return "http://{}:{}".format(*self.daemon.callers_address)

    @property
    def operators(self):
        return "http://{}:{}".format(*self.daemon.operators_address)


class Fleet:
    """Starts VMs and sends requests to them."""

    def __init__(self, stack, store, session):
        self.stack = stack
        self.store = store
        self.session = session
        self.vms = []
        self.endpoint_type = EndpointStandIn

    async def add(
        self, name, domain="fd-0", region="r-0", seeds=(), **endpoint_options
    ):
        """Start a VM, whose daemon and endpoint end with the fleet."""
        settings = ProcessSettings(
            vm=name,
            failure_domain=domain,
            region=region,
            callers=ANY_PORT,
            peers=ANY_PORT,
            operators=ANY_PORT,
            endpoints=ANY_PORT,
            peers_key=b"key of the peers",
            seeds=tuple(seeds),
            store_url=self.store.url,
            stop_timeout_s=10.0,
        )
        stack = await self.stack.enter_async_context(AsyncExitStack())
        daemon = await stack.enter_async_context(Daemon(settings))
        announce = "http://{}:{}".format(*daemon.endpoints_address)
        endpoint = await stack.enter_async_context(
            self.endpoint_type(
                "ledger", announce=announce, name=name, **endpoint_options
            )
        )
        vm = Vm(daemon, endpoint, stack)
        vm.run_task = asyncio.create_task(daemon.run(vm.stop))
        self.vms.append(vm)
        return vm

    async def remove(self, vm):
        """Remove a VM without a planned stop or a handover of its partitions."""
        self.vms.remove(vm)
        await vm.stack.aclose()
        for other in self.vms:
            # If two daemons dialed each other at the same time, their pools keep only
            # one of the two streams. A process that exits closes the other stream too,
            # but here only this call does.
            stream = other.daemon.pool.streams.get(vm.daemon.node)
            if stream is not None:
                stream.close("the other VM has ended")

    async def put(self, team, text, expected=0):
        """Claim a team's services, write its branch and return the new version."""
        branch = parse_branch(team, text)
        async with HttpStore(self.store.url) as store:
            if branch.is_ok():
                await claim_services(store, team, branch.ok.services, "test")
            return await write_document(
                store, f"settings/{team}", text.encode(), "test", expected
            )

    async def send(self, vm, key, method="POST", body=b"", **headers):
        """Send one request; underscores in header names stand for hyphens."""
        names = {
            "Sesamepost-Service": "ledger",
            "Sesamepost-Key": key,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        async with self.session.request(
            method, f"{vm.callers}/entry", data=body, headers=names
        ) as answer:
            return Reply(answer.status, answer.headers, await answer.read())

    async def wait_until_ready(self):
        """Wait until every daemon is ready and every node owns partitions."""
        await self.wait_until(lambda: all(not self._is_unready(vm) for vm in self.vms))

    async def wait_until_settled(self):
        """Wait until no partition has moved for longer than a balancing interval."""
        last, since = None, 0.0
        async with asyncio.timeout(2 * WAIT_TIMEOUT_S):
            while last is None or boottime() - since < QUIET_PERIOD_S:
                views = [vm.daemon.views for vm in self.vms]
                now = [view.assignments["ledger"].version for view in views]
                if now != last:
                    last, since = now, boottime()
                await asyncio.sleep(POLL_INTERVAL_S)

    def _is_unready(self, vm):
        reason = vm.daemon._not_ready_reason()
        assignment = vm.daemon.views.assignments.get("ledger")
        return reason or len(self.owners(assignment)) < len(self.vms)

    @staticmethod
    def owners(assignment):
        """Return the nodes that own partitions."""
        indexes = set(assignment.owners)
        return {assignment.nodes[i] for i in indexes if i < len(assignment.nodes)}

    async def wait_until(self, condition):
        """Wait until ``condition()`` is true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 - the condition spans daemons
                await asyncio.sleep(POLL_INTERVAL_S)

    def owner_vm(self, key):
        """Return the VM whose daemon owns ``key`` according to the first daemon."""
        from sesamepost.internal.identity import hash_key

        view = self.vms[0].daemon.views.assignments["ledger"]
        node = view.find(hash_key(key)).owner
        return next(vm for vm in self.vms if vm.daemon.node == node)

    def execution_count(self, request_id):
        """Return how many times a request ran on all endpoints together."""
        return sum(
            execution.count
            for vm in self.vms
            for execution in vm.endpoint.executions.values()
            if execution.request_id == request_id
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer that a caller receives."""

    status: int
    headers: object
    body: bytes

    @property
    def kind(self):
        return self.headers.get("Sesamepost-Error")

    @property
    def outcome(self):
        return self.headers.get("Sesamepost-Outcome")


@asynccontextmanager
async def running_fleet(vms=3, branch=BRANCH, locations=None, **endpoint_options):
    """Run a fleet in ``locations``, by default with one failure domain per VM.

    A location is a pair of a failure domain and a region.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(StoreStandIn())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(stack, store, session)
        await fleet.put("team", branch)
        for index in range(vms):
            location = locations[index] if locations else (f"fd-{index}", "r-0")
            await fleet.add(f"vm-{index}", *location, **endpoint_options)
        await fleet.wait_until_ready()
        yield fleet
