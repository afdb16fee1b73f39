"""A seeded schedule of failures in the in-process fleet."""

import asyncio
import random

from sesamepost.internal.clock import boottime
from sesamepost.internal.settings.edit import set_vm_state
from sesamepost.internal.settings.model import VmState
from sesamepost.internal.store.interface import (
    StoreConflictError,
    StoreUnavailableError,
)
from tests.e2e.local import BRANCH
from tests.e2e.test_cuts import disconnected
from tests.e2e.test_failures import crash

DOMAINS = 3
# Long enough for the fleet to replace a lost VM as a witness before the next loss. The
# design does not tolerate the loss of two of a node's three witnesses at once.
LOSS_INTERVAL_S = 5.0
WORK_MS = 20


class Chaos:
    """Three sequences of failures that run concurrently until ``end``.

    Each has its own random number generator, so that the interleaving of the sequences
    does not change the schedule of a seed.
    """

    def __init__(self, fleet, seed, duration_s):
        self.fleet = fleet
        self.seed = seed
        self.end = boottime() + duration_s
        self.added_count = len(fleet.vms)
        self.lost = set()
        self.version = 1
        self.log = []
        self.last_failure = boottime()

    async def run(self):
        names = ("losses", "store", "endpoints")
        async with asyncio.TaskGroup() as group:
            for name in names:
                rng = random.Random(f"{self.seed} {name}")
                group.create_task(self._run_sequence(getattr(self, name), rng))

    async def _run_sequence(self, inject, rng):
        while boottime() < self.end:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            await inject(rng)
            self.last_failure = boottime()

    def log_event(self, text):
        self.log.append(f"{boottime() - self.end:+.2f} s {text}")

    def live(self):
        return [
            vm
            for vm in self.fleet.vms
            if vm not in self.lost and not vm.run_task.done()
        ]

    async def add(self):
        number, self.added_count = self.added_count, self.added_count + 1
        self.log_event(f"add vm-{number}")
        return await self.fleet.add(
            f"vm-{number}",
            f"fd-{number % DOMAINS}",
            fenced=number % 2 == 0,
            work_ms=WORK_MS,
        )

    async def losses(self, rng):
        """Crash, stop or disconnect a VM and replace it if it has ended."""
        vm = rng.choice(self.live())
        name = vm.daemon.node.vm
        kind = rng.choice(("crash", "stop", "cut"))
        duration_s = rng.uniform(0.3, 4.0)
        self.log_event(f"{kind} {name} {duration_s:.1f} s")
        if kind == "cut":
            others = [other for other in self.live() if other is not vm]
            with disconnected([vm], others, store_reachable_from=others):
                await asyncio.sleep(duration_s)
            await self._replace_if_fenced(vm)
            return
        self.lost.add(vm)
        if kind == "crash":
            await crash(vm)
        else:
            vm.stop.set()
            await asyncio.wait([vm.run_task])
            vm.run_task.result()
            await vm.stack.aclose()
        self.log_event(f"{name} has ended")
        await self.add()
        await asyncio.sleep(LOSS_INTERVAL_S)

    async def _replace_if_fenced(self, vm):
        """Replace a VM whose daemon ends because it was fenced."""
        await asyncio.wait([vm.run_task], timeout=LOSS_INTERVAL_S)
        if vm.run_task.done():
            vm.run_task.result()
            self.log_event(f"{vm.daemon.node.vm} was fenced")
            self.lost.add(vm)
            await vm.stack.aclose()
            await self.add()

    async def store(self, rng):
        kind = rng.choice(("outage", "slow", "lost replies"))
        duration_s = rng.uniform(0.3, 4.0)
        self.log_event(f"store: {kind} {duration_s:.1f} s")
        store = self.fleet.store
        if kind == "outage":
            store.set_faults(outage=True)
        elif kind == "slow":
            store.set_faults(delay_ms=rng.choice((50, 300, 1000)))
        else:
            store.set_faults(lose_write_replies=rng.choice((1, 3)))
        await asyncio.sleep(duration_s)
        store.set_faults(outage=False, delay_ms=0, lose_write_replies=0)
        self.log_event("store: recovered")

    async def endpoints(self, rng):
        vm = rng.choice(self.live())
        name = vm.daemon.node.vm
        kind = rng.choice(("freeze", "drain", "add"))
        duration_s = rng.uniform(0.3, 4.0)
        if kind == "add":
            if len(self.live()) < 7:
                await self.add()
            return
        self.log_event(f"{kind} {name} {duration_s:.1f} s")
        if kind == "freeze":
            vm.endpoint.control(freeze=True)
            await asyncio.sleep(duration_s)
            vm.endpoint.control(freeze=False)
        else:
            drained = set_vm_state(BRANCH, name, VmState.DRAINED_FOR_DEPLOY)
            await self._put(drained)
            await asyncio.sleep(duration_s)
            await self._put(BRANCH)
        self.log_event(f"{kind} {name} ends")

    async def _put(self, text):
        """Write the branch and retry while the store is unavailable."""
        while True:
            try:
                self.version = await self.fleet.put("team", text, self.version)
                return
            except StoreConflictError as error:
                self.version = error.version
            except StoreUnavailableError:
                await asyncio.sleep(0.1)
