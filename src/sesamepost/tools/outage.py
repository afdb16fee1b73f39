"""Measure what callers see while VMs are lost, frozen or stopped or the store is down.

A fleet of separate processes runs on loopback. Probes send requests for a fixed set of
keys at a constant rate, whether or not earlier requests were answered. A gap between
successful responses shows for how long a key could not be served.
"""

import asyncio
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

import aiohttp
import defopt

from sesamepost.errors import OUTCOME_HEADER, Outcome
from sesamepost.internal.documents.views import ASSIGNMENT_PREFIX
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.store.envelope import decode_envelope
from sesamepost.internal.store.http import HttpStore
from sesamepost.tools.fleet import DEFAULT_BRANCH, LocalFleet, LocalVm

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_MS = 400
SETTLE_S = 1.0
SERVICE = "lookup"
TEAM = "demo"
BALANCING_OFF_BRANCH = DEFAULT_BRANCH.replace("[team]", "[team]\nweight_imbalance = 0")


@dataclass(slots=True)
class Observations:
    """Responses to the probes; times are in seconds of the monotonic clock."""

    successes: dict[str, list[float]] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    mismatches: int = 0

    def gaps(self, since: float) -> list[float]:
        """Return the longest outage of each key after ``since``, in ascending order."""
        gaps = []
        for times in self.successes.values():
            before = [t for t in times if t <= since]
            later = [t for t in times if t > since]
            points = before[-1:] + later
            longest = max((b - a for a, b in pairwise(points)), default=float("inf"))
            gaps.append(max(0.0, longest - PROBE_INTERVAL_S))
        return sorted(gaps)


@dataclass(frozen=True, slots=True)
class Report:
    """Measurements of one event."""

    event: str
    median_s: float
    percentile_99_s: float
    worst_s: float
    churn: int
    minimum_churn: int
    partitions: int
    errors: dict[str, int]
    mismatches: int
    duplicate_runs: int
    false_not_runs: int

    def format_row(self) -> str:
        """Format the report as a row of the table."""
        return (
            f"{self.event:<28} {self.median_s:>7.2f} {self.percentile_99_s:>7.2f} "
            f"{self.worst_s:>7.2f} {self.churn:>6} {self.minimum_churn:>9} "
            f"{self.mismatches:>6} {self.duplicate_runs:>7} "
            f"{self.false_not_runs:>9}  "
            + ", ".join(f"{k}={v}" for k, v in sorted(self.errors.items()))
        )


HEADER = (
    f"{'event':<28} {'median':>7} {'p99':>7} {'worst':>7} {'churn':>6} "
    f"{'smallest':>9} {'wrong':>6} {'double':>7} {'false-not':>9}  errors"
)


class Probes:
    """Send requests for a set of keys to daemons that are expected to be running."""

    def __init__(self, fleet: LocalFleet, keys: int, seed: int) -> None:
        self.fleet = fleet
        self.keys = [f"probe-{number}" for number in range(keys)]
        self.rng = random.Random(seed)
        self.targets = list(fleet.vms)
        self.observations = Observations({key: [] for key in self.keys})
        self.number = 0
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Probes":
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.sender = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error) -> None:
        self.sender.cancel()
        await asyncio.gather(self.sender, *self.tasks, return_exceptions=True)
        await self.session.close()

    async def _run(self) -> None:
        interval = PROBE_INTERVAL_S / len(self.keys)
        next_at = time.monotonic()
        while True:
            for key in self.keys:
                task = asyncio.create_task(self._probe(key))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                next_at += interval
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def _probe(self, key: str) -> None:
        self.number += 1
        request_id = f"probe-{self.number}"
        url = f"{self.rng.choice(self.targets).callers}/probe"
        headers = {
            "Sesamepost-Service": SERVICE,
            "Sesamepost-Key": key,
            "Sesamepost-Timeout-Ms": str(PROBE_TIMEOUT_MS),
            "X-Request-Id": request_id,
        }
        observations = self.observations
        try:
            async with self.session.post(url, headers=headers) as response:
                outcome = response.headers.get(OUTCOME_HEADER, "none")
                if response.status == 200:
                    content = await response.json()
                    observations.mismatches += content["request_id"] != request_id
                    observations.successes[key].append(time.monotonic())
                else:
                    observations.errors[
                        response.headers.get("Sesamepost-Error", "other")
                    ] += 1
        except aiohttp.ClientError as error:
            observations.errors[type(error).__name__] += 1
            return
        observations.outcomes[outcome] += 1
        if outcome == Outcome.NOT_RUN:
            observations.not_run.add(request_id)


async def read_assignment(fleet: LocalFleet) -> Assignment:
    """Return the assignment that is in the store."""
    async with HttpStore(fleet.store_url) as store:
        stored = await store.get(ASSIGNMENT_PREFIX + SERVICE)
    body = decode_envelope(stored.value).body
    return Assignment.decode(SERVICE, stored.version, body)


def owners_by_vm(assignment: Assignment) -> list[str]:
    """Return the VM that owns each partition."""
    return [assignment.owner_of_partition(p).vm for p in range(len(assignment))]


async def read_executions(fleet: LocalFleet, vms: list[LocalVm]) -> Counter[str]:
    """Return how often each request ran at the stand-in endpoints of ``vms``."""
    runs: Counter[str] = Counter()
    for vm in vms:
        port = vm.endpoint_port(0)
        async with fleet.session.get(f"http://127.0.0.1:{port}/control") as response:
            for execution in (await response.json())["executions"]:
                runs[execution["request_id"]] += execution["count"]
    return runs


def signal_vm(vm: LocalVm, signum: signal.Signals) -> None:
    """Send a signal to all processes of a VM."""
    for process in (vm.daemon, *vm.endpoints.values()):
        if process.returncode is None:
            process.send_signal(signum)


async def control_store(fleet: LocalFleet, **faults) -> None:
    """Set faults of the stand-in for the store."""
    async with fleet.session.post(
        f"{fleet.store_url}/control", json=faults
    ) as response:
        response.raise_for_status()


Event = Callable[[LocalFleet, Probes], Awaitable[list[LocalVm]]]


async def kill_vm(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Kill all processes of one VM."""
    lost = fleet.vms[-1]
    probes.targets.remove(lost)
    signal_vm(lost, signal.SIGKILL)
    await asyncio.sleep(6.0)
    return [lost]


async def kill_controller(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Kill all processes of the VM whose daemon is the controller."""
    name = (await fleet.status(fleet.vms[0]))["controller"].split("@")[0]
    lost = next(vm for vm in fleet.vms if vm.name == name)
    probes.targets.remove(lost)
    signal_vm(lost, signal.SIGKILL)
    await asyncio.sleep(8.0)
    return [lost]


async def freeze_vm(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Freeze all processes of one VM for 10 s, then let them continue."""
    frozen = fleet.vms[-1]
    probes.targets.remove(frozen)
    signal_vm(frozen, signal.SIGSTOP)
    await asyncio.sleep(10.0)
    signal_vm(frozen, signal.SIGCONT)
    await asyncio.sleep(3.0)
    return []


async def freeze_daemon(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Freeze only the daemon of one VM for 10 s; its endpoint keeps running."""
    frozen = fleet.vms[-1]
    probes.targets.remove(frozen)
    frozen.daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(10.0)
    frozen.daemon.send_signal(signal.SIGCONT)
    await asyncio.sleep(3.0)
    return []


async def kill_failure_domain(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Kill all VMs of one failure domain at the same time."""
    domain = fleet.vms[-1].failure_domain
    lost = [vm for vm in fleet.vms if vm.failure_domain == domain]
    probes.targets = [vm for vm in fleet.vms if vm not in lost]
    for vm in lost:
        signal_vm(vm, signal.SIGKILL)
    await asyncio.sleep(8.0)
    return lost


async def stop_vm(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Stop one VM as planned: send SIGTERM to its daemon, then to its endpoint."""
    leaving = fleet.vms[-1]
    probes.targets.remove(leaving)
    await asyncio.sleep(0.5)
    leaving.daemon.send_signal(signal.SIGTERM)
    await asyncio.wait_for(leaving.daemon.wait(), 40)
    signal_vm(leaving, signal.SIGTERM)
    await asyncio.sleep(3.0)
    return [leaving]


async def store_outage_and_kill_vm(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Take the store down for 20 s and kill a VM after the first 5 s."""
    await control_store(fleet, outage=True)
    await asyncio.sleep(5.0)
    lost = fleet.vms[-1]
    probes.targets.remove(lost)
    signal_vm(lost, signal.SIGKILL)
    await asyncio.sleep(15.0)
    await control_store(fleet, outage=False)
    await asyncio.sleep(6.0)
    return [lost]


async def store_outage(fleet: LocalFleet, probes: Probes) -> list[LocalVm]:
    """Take the store down for 20 s."""
    await control_store(fleet, outage=True)
    await asyncio.sleep(20.0)
    await control_store(fleet, outage=False)
    await asyncio.sleep(2.0)
    return []


EVENTS: dict[str, Event] = {
    "vm-killed": kill_vm,
    "controller-killed": kill_controller,
    "vm-frozen-10s": freeze_vm,
    "daemon-frozen-10s": freeze_daemon,
    "planned-stop": stop_vm,
    "failure-domain-lost": kill_failure_domain,
    "store-outage": store_outage,
    "store-outage-and-vm-killed": store_outage_and_kill_vm,
}


async def measure(
    name: str,
    vms: int,
    keys: int,
    base_port: int,
    seed: int,
    endpoint_options: tuple[str, ...] = (),
) -> Report:
    """Measure one event in a new fleet."""
    with tempfile.TemporaryDirectory(prefix="sesamepost-") as directory:
        async with LocalFleet(
            Path(directory), vms, base_port, endpoint_options=endpoint_options
        ) as fleet:
            await fleet.start(DEFAULT_BRANCH, TEAM)
            return await _measure(name, fleet, keys, seed)


async def _measure(name: str, fleet: LocalFleet, keys: int, seed: int) -> Report:
    async with Probes(fleet, keys, seed) as probes:
        # Partitions still move for a while after the start. Wait until the assignment
        # is stable and switch off balancing, so that only the event causes churn.
        await _wait_for_stable_assignment(fleet)
        await fleet.put_branch(TEAM, BALANCING_OFF_BRANCH, 1)
        before = await _wait_for_stable_assignment(fleet)
        probes.observations.errors.clear()
        started = time.monotonic()
        lost = await EVENTS[name](fleet, probes)
        await asyncio.sleep(SETTLE_S)
    after = await read_assignment(fleet)
    runs = await read_executions(fleet, [vm for vm in fleet.vms if vm not in lost])
    observations = probes.observations
    gaps = observations.gaps(started)
    old, new = owners_by_vm(before), owners_by_vm(after)
    lost_names = {vm.name for vm in lost}
    return Report(
        name,
        statistics.median(gaps),
        gaps[min(len(gaps) - 1, int(len(gaps) * 0.99))],
        gaps[-1],
        sum(a != b for a, b in zip(old, new, strict=True)),
        sum(vm in lost_names for vm in old),
        len(old),
        dict(observations.errors),
        observations.mismatches,
        sum(count - 1 for count in runs.values() if count > 1),
        sum(runs[request_id] > 0 for request_id in observations.not_run),
    )


async def _wait_for_stable_assignment(fleet: LocalFleet) -> Assignment:
    previous = None
    while True:
        current = await read_assignment(fleet)
        if previous is not None and current.version == previous.version:
            return current
        previous = current
        await asyncio.sleep(5 * SETTLE_S)


async def _run(events: list[str], vms: int, keys: int, base_port: int, seed: int):
    print(f"{vms} VMs, {keys} keys probed every {PROBE_INTERVAL_S} s, seed {seed}")
    print("times in seconds without service, for each key")
    print(HEADER, flush=True)
    failed = False
    for name in events:
        report = await measure(name, vms, keys, base_port, seed)
        print(report.format_row(), flush=True)
        failed = failed or bool(
            report.mismatches or report.duplicate_runs or report.false_not_runs
        )
    return 1 if failed else 0


def run(
    *,
    events: list[str] | None = None,
    vms: int = 8,
    keys: int = 40,
    base_port: int = 21000,
    seed: int = 1,
) -> None:
    """Measure unavailable time, churn and false answers under failures.

    :param events: names of the events; all if none are given
    :param vms: number of VMs in the fleet
    :param keys: number of keys to probe
    :param base_port: first port to use; each VM reserves 10 ports
    :param seed: seed of the choice of daemons
    """
    names = events or list(EVENTS)
    unknown = [name for name in names if name not in EVENTS]
    if unknown:
        sys.exit(f"unknown events {unknown}; expected some of {list(EVENTS)}")
    sys.exit(asyncio.run(_run(names, vms, keys, base_port, seed)))


def main() -> None:
    """Entry point of ``sesamepost-outage``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
