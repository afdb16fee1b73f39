"""Runs a fleet of real processes under random faults and checks its guarantees.

``python -m tests.soak.soak --seeds 50`` runs the seeds 1 to 50. ``--first`` selects
another first seed, ``--nodes`` the size of the fleet and ``--seconds`` the duration of
the faults. With ``--by-heartbeat``, workers take keys by heartbeats. With ``--lives``,
the faults are those of ``lives.py``, most of which replace a worker. With
``--restores``, the store also comes back from older copies. A seed determines the
faults with their times and targets; the scheduling of the processes still differs from
run to run.
"""

import asyncio
import random
import sys
import tempfile
import traceback
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import defopt

from tests.platform.fleet import Fleet, HeartbeatFleet
from tests.platform.worker_standin import WorkerStandin
from tests.soak.faults import FAULTS, RESTORE_FAULTS, Fault, Target
from tests.soak.lives import HEARTBEAT_INTERVALS_S, LIFE_FAULTS
from tests.soak.proxy import FaultProxy
from tests.soak.traffic import Outcome, Traffic, find_violations

MAX_FAULT_S = 4.0
CALLERS_PER_NODE = 2
# The recovery time after the last fault that operators are guaranteed.
RECOVERY_S = 15.0
MAX_SETTINGS_DELAY_S = 2.5
INCONCLUSIVE_ERRORS = ("ClientConnectorError", "ConnectionTimeoutError", "TimeoutError")


@dataclass(slots=True)
class PlannedFault:
    """One fault of a schedule; ``at_s`` counts from the start of the schedule."""

    at_s: float
    duration_s: float
    fault: Fault


def schedule(
    seed: int, seconds: float, faults: Sequence[Fault] = FAULTS
) -> list[PlannedFault]:
    """Return the faults of a seed, which come in series and may overlap."""
    rng = random.Random(seed)
    planned = []
    at_s = 0.0
    while at_s < seconds:
        at_s += rng.choice([0.1, 0.5, 1.0, 2.0, 3.0])
        duration_s = rng.uniform(0.2, MAX_FAULT_S)
        planned.append(PlannedFault(at_s, duration_s, rng.choice(faults)))
    return planned


async def run_seed(
    seed: int,
    path: Path,
    nodes: int = 4,
    seconds: float = 12.0,
    by_heartbeat: bool = False,
    lives: bool = False,
    restores: bool = False,
):
    """Run one seed and return the violations and the outcomes of all requests."""
    async with AsyncExitStack() as stack:
        fleet_type = HeartbeatSoakFleet if by_heartbeat else SoakFleet
        fleet = fleet_type(path, nodes)
        target = Target(fleet, random.Random(seed))
        fleet.target, fleet.proxy_stack = target, stack
        planned = schedule(seed, seconds)
        if restores:
            planned = schedule(seed, seconds, RESTORE_FAULTS)
            fleet.store.era = 1
        if lives:
            planned = schedule(seed, seconds, LIFE_FAULTS)
            fleet.heartbeat_interval_s = target.random.choice(HEARTBEAT_INTERVALS_S)
        await stack.enter_async_context(fleet)
        traffic = Traffic(fleet, seed, nodes * CALLERS_PER_NODE)
        traffic.start()
        stack.push_async_callback(traffic.stop)
        stack.callback(_write_events, fleet)
        await _inject(target, planned)
        problems = await _check_recovery(target)
        await traffic.stop()
        problems += find_violations(fleet, traffic.outcomes)
        problems += find_unanswered_requests(target, traffic.outcomes)
        return problems + target.problems, traffic.outcomes


def _write_events(fleet: Fleet) -> None:
    """Write the faults, the lives of workers and their grants beside the logs."""
    text = "".join(f"{event}\n" for event in fleet.record.events)
    (fleet.path / "events.log").write_text(text)


async def _inject(target: Target, planned: list[PlannedFault]) -> None:
    began = asyncio.get_running_loop().time()

    async def run(item: PlannedFault) -> None:
        left_s = began + item.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))
        name = item.fault.__name__
        target.fleet.record.note(f"fault {name} for {item.duration_s:.2f} s")
        await item.fault(target, item.duration_s)
        target.fleet.record.note(f"fault {name} has ended")

    await asyncio.gather(*(run(item) for item in planned))


async def _check_recovery(target: Target) -> list[str]:
    """Check that all keys are served after the faults, under the newest settings."""
    fleet = target.fleet
    problems = []
    for index, process in fleet.processes.items():
        if process.returncode is not None:
            problems.append(f"node {index} exited unexpectedly: {process.returncode}")
    for via in range(fleet.count):
        try:
            await fleet.wait_until_served(via, RECOVERY_S)
        except TimeoutError:
            problems.append(f"keys are not served through node {via} after the faults")
    target.version += 1
    await fleet.put_routing(target.version)
    path = f"/v{target.version}/"
    for via in range(fleet.count):

        async def is_in_force(via: int = via) -> bool:
            return (await fleet.send_request(via, path, body="b"))[0] == 200

        try:
            await fleet.wait_until(is_in_force, MAX_SETTINGS_DELAY_S)
        except TimeoutError:
            problems.append(f"version {target.version} is not in force at node {via}")
    return problems


def find_unanswered_requests(target: Target, outcomes: list[Outcome]) -> list[str]:
    """Return requests that got no answer from a node that no fault disrupted."""
    violations = []
    for outcome in outcomes:
        # After a refused connection or a timeout it is unknown whether the node read
        # the request.
        if outcome.status or outcome.error.startswith(INCONCLUSIVE_ERRORS):
            continue
        disturbed = any(
            node == outcome.node and began <= outcome.ended and outcome.began <= ended
            for node, began, ended in target.disruptions
        )
        if not disturbed and outcome.node not in target.restarting:
            violations.append(f"{outcome.request_id}: {outcome.error}")
    return violations


class SoakFleet(Fleet):
    """A fleet whose connections to the store and the workers use proxies."""

    target: Target
    proxy_stack: AsyncExitStack

    async def start_worker(
        self, index: int, worker_id: str = "", first_heartbeat_s: float = 0.0
    ) -> None:
        """Start a worker behind a proxy of its own."""
        if index not in self.target.worker_proxies:
            port = self.ports["worker"]
            address = (self.ip(index), port)
            proxy = FaultProxy(address, (self.ip(index), self.proxied_port))
            self.target.worker_proxies[index] = proxy
            await self.proxy_stack.enter_async_context(proxy)
        await self.target.worker_proxies[index].listen()
        await super().start_worker(index, worker_id, first_heartbeat_s)

    async def crash_worker(self, index: int) -> WorkerStandin:
        """End a worker at once; its port is closed until the next one starts."""
        self.target.worker_proxies[index].refuse()
        return await super().crash_worker(index)

    async def start(self, index: int) -> None:
        """Start a node that reaches the store through a proxy of its own."""
        if index not in self.target.store_proxies:
            host, port = self.store.address.split(":")
            proxy = FaultProxy((self.ip(index), 0), (host, int(port)))
            self.target.store_proxies[index] = proxy
            await self.proxy_stack.enter_async_context(proxy)
        await super().start(index)

    def store_address(self, index: int) -> str:
        """Return the address of a node's proxy to the store."""
        return "{}:{}".format(*self.target.store_proxies[index].address)

    def listening_port(self) -> int:
        """Return the port on which workers listen behind their proxies."""
        return self.proxied_port

    @property
    def proxied_port(self) -> int:
        """The port after the named ports, so that it differs from all of them."""
        return self.ports["worker"] + len(self.ports)


class HeartbeatSoakFleet(SoakFleet, HeartbeatFleet):
    """The same with workers that take keys by heartbeats."""


def main(
    *,
    seeds: int = 10,
    first: int = 1,
    nodes: int = 4,
    seconds: float = 12,
    by_heartbeat: bool = False,
    lives: bool = False,
    restores: bool = False,
):
    """Run seeds one after the other.

    :param seeds: number of seeds
    :param first: first seed
    :param nodes: number of nodes, each a process
    :param seconds: duration of fault injection
    :param by_heartbeat: whether workers take their keys by heartbeats
    :param lives: whether the faults are those that replace workers
    :param restores: whether the store also comes back from older copies
    """
    failed = 0
    for seed in range(first, first + seeds):
        path = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            problems, outcomes = asyncio.run(
                run_seed(seed, path, nodes, seconds, by_heartbeat, lives, restores)
            )
        except Exception:
            problems, outcomes = [traceback.format_exc()], []
        served = sum(outcome.status == 200 for outcome in outcomes)
        print(f"seed {seed}: {len(outcomes)} requests, {served} served, {path}")
        for problem in problems[:10]:
            print(f"  {problem}")
        failed += bool(problems)
    print(f"{seeds} seeds, {failed} with violations")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
