"""Compare the cost of a request through the daemons and through two bare HTTP hops."""

import asyncio
import os
import statistics
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

from sesamepost.tools.fleet import HOST, POLL_S, LocalFleet, LocalVm
from sesamepost.tools.load import MIB, LoadPlan, LoadResult, drive

FORWARDER_PORT_OFFSET = 5
FORWARDER_ENDPOINT_PORT_OFFSET = 6
CANDIDATE_KEYS = 400
WARM_UP_S = 2.0
BARE = "bare hops"
LOCAL = "local"
CROSSING = "crossing"
MIN_KEYS_PER_VM = CANDIDATE_KEYS // 4
BALANCE_TIMEOUT_S = 30.0
TEAM = "demo"
# More slots than concurrent requests, so that no time in the queue is measured.
SLOTS = 64
SERVICE_SECTION = f"""\
[service:lookup]
partitions = 64
slots = {SLOTS}
connections = 110
"""
BRANCH = f"[team]\n{SERVICE_SECTION}"
# The measured load reaches only one VM, so the planner would move partitions away from
# it. With a weight of 0 for imbalance, every key keeps its owner.
BALANCING_OFF_BRANCH = f"[team]\nweight_imbalance = 0\n{SERVICE_SECTION}"


class LeanFleet(LocalFleet):
    """A local fleet with lean endpoints and a bare forwarder."""

    @property
    def forwarder_url(self) -> str:
        """Base URL of the bare forwarder."""
        return f"http://{HOST}:{self.base_port + FORWARDER_PORT_OFFSET}"

    async def start_endpoint(self, vm: LocalVm, service: str) -> None:
        """Start the lean endpoint of one VM."""
        port = vm.endpoint_port(self.services.index(service))
        vm.endpoints[service] = await self._run_endpoint(
            port, "--announce", vm.announcements, "--service", service
        )

    async def start_forwarder(self) -> int:
        """Start the forwarder and its endpoint; return the forwarder's process id."""
        endpoint_port = self.base_port + FORWARDER_ENDPOINT_PORT_OFFSET
        await self._run_endpoint(endpoint_port)
        process = await self.run(
            "sesamepost.tools.forwarder",
            *("--port", str(self.base_port + FORWARDER_PORT_OFFSET)),
            *("--target", f"http://{HOST}:{endpoint_port}"),
        )
        await self._wait_for(self.forwarder_url)
        return process.pid

    async def keys_by_owner(self, vm: LocalVm, service: str) -> dict[str, list[str]]:
        """Return the keys by the name of the VM that owns them according to ``vm``."""
        keys: dict[str, list[str]] = {}
        for number in range(CANDIDATE_KEYS):
            query = {"service": service, "key": f"key-{number}"}
            url = f"{vm.operators}/owner"
            async with self.session.get(url, params=query) as response:
                owner = (await response.json())["owner"].partition("@")[0]
            keys.setdefault(owner, []).append(query["key"])
        return keys

    async def pin_owners(self, plan: LoadPlan) -> dict[str, list[str]]:
        """Send requests until each VM owns enough keys, then switch off balancing.

        Return the keys by owner.
        """
        entry = self.vms[0]
        service = self.services[0]
        all_keys = [f"key-{number}" for number in range(CANDIDATE_KEYS)]
        plan = replace(plan, callers=[entry.callers], keys=all_keys, seconds=1.0)
        async with asyncio.timeout(BALANCE_TIMEOUT_S):
            while True:
                keys = await self.keys_by_owner(entry, service)
                counts = [len(keys.get(vm.name, ())) for vm in self.vms]
                if min(counts) >= MIN_KEYS_PER_VM:
                    break
                await drive(replace(plan, rate=0.0, processes=1))
        name = f"settings/{TEAM}"
        version = (await self.status(entry))["documents"][name]
        await self.put_branch(TEAM, BALANCING_OFF_BRANCH, version)
        async with asyncio.timeout(BALANCE_TIMEOUT_S):
            waiting = list(self.vms)
            while waiting:
                status = await self.status(waiting[-1])
                if status["documents"][name] > version:
                    waiting.pop()
                else:
                    await asyncio.sleep(POLL_S)
        return await self.keys_by_owner(entry, service)

    async def _run_endpoint(self, port: int, *arguments: str):
        process = await self.run(
            "sesamepost.tools.lean_endpoint",
            *("--port", str(port), "--slots", str(SLOTS), *arguments),
        )
        await self._wait_for(f"http://{HOST}:{port}/")
        return process


@dataclass(frozen=True, slots=True)
class MeasuredPath:
    """A path of requests; ``pids`` are the processes whose CPU time is measured."""

    name: str
    plan: LoadPlan
    pids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Sample:
    """One measurement; ``cpu_us`` is the CPU time per request of each process."""

    result: LoadResult
    rate: float
    cpu_us: tuple[float, ...]

    @property
    def total_us(self) -> float:
        """CPU time per request of all processes of the path."""
        return sum(self.cpu_us)


async def compare_paths(plan: LoadPlan, rounds: int, base_port: int) -> int:
    """Measure each path ``rounds`` times in turn and print the ratios."""
    with tempfile.TemporaryDirectory(prefix="sesamepost-") as directory:
        fleet = LeanFleet(Path(directory), 2, base_port, failure_domains=1)
        async with fleet:
            await fleet.start(BRANCH, TEAM)
            paths = await _build_paths(fleet, plan)
            for path in paths:
                await drive(replace(path.plan, seconds=WARM_UP_S, rate=0.0))
            samples = {path.name: [] for path in paths}
            for number in range(rounds):
                for path in paths:
                    sample = await _measure(path)
                    samples[path.name].append(sample)
                    _print_sample(f"{number + 1}. {path.name}", sample)
            for vm in fleet.vms:
                rss = _read_resident_bytes(vm.daemon.pid) / MIB
                print(f"resident memory of {vm.name}'s daemon: {rss:.0f} MiB")
    _print_summary(samples)
    mismatches = sum(s.result.mismatches for group in samples.values() for s in group)
    return 1 if mismatches else 0


async def _build_paths(fleet: LeanFleet, plan: LoadPlan) -> list[MeasuredPath]:
    entry, other = fleet.vms
    service = fleet.services[0]
    keys = await fleet.pin_owners(plan)
    plan = replace(plan, callers=[entry.callers], service=service)
    forwarder_pid = await fleet.start_forwarder()
    local_keys, remote_keys = keys[entry.name], keys[other.name]
    return [
        MeasuredPath(
            BARE,
            replace(plan, callers=[fleet.forwarder_url], keys=local_keys),
            (forwarder_pid,),
        ),
        MeasuredPath(LOCAL, replace(plan, keys=local_keys), (entry.daemon.pid,)),
        MeasuredPath(
            CROSSING,
            replace(plan, keys=remote_keys),
            (entry.daemon.pid, other.daemon.pid),
        ),
    ]


async def _measure(path: MeasuredPath) -> Sample:
    before = [_read_cpu_s(pid) for pid in path.pids]
    result = await drive(path.plan)
    after = [_read_cpu_s(pid) for pid in path.pids]
    total = max(1, len(result.latencies))
    costs = [(b - a) / total * 1e6 for a, b in zip(before, after, strict=True)]
    return Sample(result, total / path.plan.seconds, tuple(costs))


def _print_sample(title: str, sample: Sample) -> None:
    result = sample.result
    cpu = " + ".join(f"{cost:.0f}" for cost in sample.cpu_us)
    print(
        f"{title:>13}: {sample.rate:5.0f}/s, CPU {cpu} us a request, ms: "
        f"p50 {result.percentile(50):.2f}, p99 {result.percentile(99):.2f}, "
        f"p99.9 {result.percentile(99.9):.2f}, {dict(result.statuses)}, "
        f"{result.mismatches} wrong",
        flush=True,
    )


def _print_summary(samples: dict[str, list[Sample]]) -> None:
    bare = statistics.median(s.total_us for s in samples[BARE])
    for name, group in samples.items():
        costs = [s.total_us for s in group]
        median = statistics.median(costs)
        print(
            f"{name}: median {median:.0f} us CPU ({min(costs):.0f} to "
            f"{max(costs):.0f}), {median / bare:.2f} times the bare hops"
        )


def _read_cpu_s(pid: int) -> float:
    # Fields 14 and 15 of /proc/PID/stat; the name in field 2 may contain spaces.
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_resident_bytes(pid: int) -> int:
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
