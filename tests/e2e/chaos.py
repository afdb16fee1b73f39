"""A seeded schedule of failures on the in-process fleet."""

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
# The next loss of a VM waits until the fleet has replaced the lost VM as a witness.
# Nodes that lose two of three witnesses at once are outside of what is tolerated.
BETWEEN_LOSSES_S = 5.0
WORK_MS = 20


class Chaos:
    """Three sequences of failures that run at the same time until ``end``.

    Each has its own random numbers, so the order in which they get to run does not
    change the schedule of a seed.
    """

    def __init__(self, fleet, seed, duration_s):
        self.fleet = fleet
        self.seed = seed
        self.end = boottime() + duration_s
        self.added = len(fleet.vms)
        self.lost = set()
        self.version = 1
        self.log = []
        self.last_failure = boottime()

    async def run(self):
        names = ("losses", "store", "endpoints")
        async with asyncio.TaskGroup() as group:
            for name in names:
                numbers = random.Random(f"{self.seed} {name}")
                group.create_task(self._run_sequence(getattr(self, name), numbers))

    async def _run_sequence(self, fail, numbers):
        while boottime() < self.end:
            await asyncio.sleep(numbers.uniform(0.2, 1.0))
            await fail(numbers)
            self.last_failure = boottime()

    def note(self, text):
        self.log.append(f"{boottime() - self.end:+.2f} s {text}")

    def live(self):
        return [
            vm for vm in self.fleet.vms if vm not in self.lost and not vm.run.done()
        ]

    async def add(self):
        number, self.added = self.added, self.added + 1
        self.note(f"add vm-{number}")
        return await self.fleet.add(
            f"vm-{number}",
            f"fd-{number % DOMAINS}",
            fenced=number % 2 == 0,
            work_ms=WORK_MS,
        )

    async def losses(self, numbers):
        """Lose a VM in one of three ways and replace it."""
        vm = numbers.choice(self.live())
        name = vm.daemon.node.vm
        kind = numbers.choice(("crash", "stop", "cut"))
        duration_s = numbers.uniform(0.3, 4.0)
        self.note(f"{kind} {name} {duration_s:.1f} s")
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
            await asyncio.wait([vm.run])
            vm.run.result()
            await vm.stack.aclose()
        self.note(f"{name} has ended")
        await self.add()
        await asyncio.sleep(BETWEEN_LOSSES_S)

    async def _replace_if_fenced(self, vm):
        """Restart the VM of a daemon that ends because it was fenced."""
        await asyncio.wait([vm.run], timeout=BETWEEN_LOSSES_S)
        if vm.run.done():
            vm.run.result()
            self.note(f"{vm.daemon.node.vm} was fenced")
            self.lost.add(vm)
            await vm.stack.aclose()
            await self.add()

    async def store(self, numbers):
        kind = numbers.choice(("outage", "slow", "lost replies"))
        duration_s = numbers.uniform(0.3, 4.0)
        self.note(f"store: {kind} {duration_s:.1f} s")
        store = self.fleet.store
        if kind == "outage":
            store.set_faults(outage=True)
        elif kind == "slow":
            store.set_faults(delay_ms=numbers.choice((50, 300, 1000)))
        else:
            store.set_faults(lose_write_replies=numbers.choice((1, 3)))
        await asyncio.sleep(duration_s)
        store.set_faults(outage=False, delay_ms=0, lose_write_replies=0)
        self.note("store: in order")

    async def endpoints(self, numbers):
        vm = numbers.choice(self.live())
        name = vm.daemon.node.vm
        kind = numbers.choice(("freeze", "drain", "add"))
        duration_s = numbers.uniform(0.3, 4.0)
        if kind == "add":
            if len(self.live()) < 7:
                await self.add()
            return
        self.note(f"{kind} {name} {duration_s:.1f} s")
        if kind == "freeze":
            vm.endpoint.control(freeze=True)
            await asyncio.sleep(duration_s)
            vm.endpoint.control(freeze=False)
        else:
            drained = set_vm_state(BRANCH, name, VmState.DRAINED_FOR_DEPLOY)
            await self._put(drained)
            await asyncio.sleep(duration_s)
            await self._put(BRANCH)
        self.note(f"{kind} {name} ends")

    async def _put(self, text):
        """Write the branch, again and again while the store fails."""
        while True:
            try:
                self.version = await self.fleet.put("team", text, self.version)
                return
            except StoreConflictError as error:
                self.version = error.version
            except StoreUnavailableError:
                await asyncio.sleep(0.1)
