"""Control-plane cost of a fleet of separate processes that serve no requests."""

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from sesamepost.internal.balance.reports import report_interval_s
from sesamepost.tools.fleet import DEFAULT_BRANCH, LocalFleet

SETTLE_S = 12.0
MEASURE_S = 20.0
POLL_S = 0.02
CHANGES = 5
CHANGE_TIMEOUT_S = 15.0
FAILURE_DOMAINS = 5

# Imports the libraries of a daemon and prints the resident memory in bytes.
IMPORTS_ONLY = """
import os, resource
os.environ["UV_USE_IO_URING"] = "0"
import aiohttp, aiohttp.web, defopt, expression, msgpack, reactivex, structlog, uvloop
import opentelemetry.sdk.metrics, opentelemetry.exporter.prometheus
pages = int(open("/proc/self/statm").read().split()[1])
print(pages * resource.getpagesize())
"""


@dataclass(frozen=True, slots=True)
class RunningCost:
    """Resources that a fleet used; shares are of one core."""

    nodes: int
    core_shares: tuple[float, ...]
    controller_core_share: float
    resident_bytes: tuple[int, ...]
    stream_bytes_per_s: tuple[float, ...]
    controller_bytes_per_s: float
    store_calls_per_s: dict[str, float]
    settings_change_s: tuple[float, ...]

    def format_rows(self) -> list[str]:
        """Format the figures as lines of a list."""
        mib = [size / (1 << 20) for size in self.resident_bytes]
        shares = [100 * share for share in self.core_shares]
        calls = ", ".join(f"{k} {v:.2f}" for k, v in self.store_calls_per_s.items())
        return [
            f"- {self.nodes} nodes: {statistics.median(shares):.2f}% of a core"
            f" ({min(shares):.2f} to {max(shares):.2f}),"
            f" controller {100 * self.controller_core_share:.2f}%,"
            f" resident {statistics.median(mib):.1f} MiB"
            f" ({min(mib):.1f} to {max(mib):.1f}),"
            f" streams {statistics.median(self.stream_bytes_per_s):.0f} bytes/s"
            f" sent and received ({min(self.stream_bytes_per_s):.0f} to"
            f" {max(self.stream_bytes_per_s):.0f}), controller"
            f" {self.controller_bytes_per_s:.0f},"
            f" settings change {statistics.median(self.settings_change_s):.2f} s"
            f" ({min(self.settings_change_s):.2f} to"
            f" {max(self.settings_change_s):.2f}),"
            f" store calls/s {sum(self.store_calls_per_s.values()):.2f} ({calls})"
        ]


def memory_of_imports() -> int:
    """Return the resident memory in bytes of a process that only imports libraries."""
    completed = subprocess.run(
        [sys.executable, "-c", IMPORTS_ONLY], capture_output=True, check=True, text=True
    )
    return int(completed.stdout)


async def measure_fleet(nodes: int, base_port: int) -> RunningCost:
    """Run a fleet without requests and return the resources that it used."""
    with tempfile.TemporaryDirectory(prefix="sesamepost-") as directory:
        fleet = LocalFleet(
            Path(directory), nodes, base_port, failure_domains=FAILURE_DOMAINS
        )
        async with fleet:
            await fleet.start()
            await asyncio.sleep(SETTLE_S + report_interval_s(nodes))
            before, calls_before = await _statuses(fleet), await _store_calls(fleet)
            await asyncio.sleep(MEASURE_S)
            after, calls_after = await _statuses(fleet), await _store_calls(fleet)
            changes = [await _change_settings(fleet, n) for n in range(CHANGES)]
    shares, traffic = {}, {}
    for old, new in zip(before, after, strict=True):
        cpu_s = new["process"]["cpu_s"] - old["process"]["cpu_s"]
        wall_s = new["process"]["unix_s"] - old["process"]["unix_s"]
        shares[new["node"]] = cpu_s / wall_s
        traffic[new["node"]] = (_stream_bytes(new) - _stream_bytes(old)) / wall_s
    controller = after[0]["controller"]
    wall_s = after[0]["process"]["unix_s"] - before[0]["process"]["unix_s"]
    return RunningCost(
        nodes,
        tuple(share for node, share in shares.items() if node != controller),
        shares.get(controller, float("nan")),
        tuple(status["process"]["rss_bytes"] for status in after),
        tuple(rate for node, rate in traffic.items() if node != controller),
        traffic.get(controller, float("nan")),
        {
            name: (count - calls_before.get(name, 0)) / wall_s
            for name, count in calls_after.items()
            if count > calls_before.get(name, 0)
        },
        tuple(changes),
    )


async def _statuses(fleet: LocalFleet) -> list[dict]:
    return list(await asyncio.gather(*(fleet.status(vm) for vm in fleet.vms)))


def _stream_bytes(status: dict) -> int:
    usage = status["process"]
    return usage["peer_bytes_sent"] + usage["peer_bytes_received"]


async def _store_calls(fleet: LocalFleet) -> dict[str, int]:
    async with fleet.session.get(f"{fleet.store_url}/control") as response:
        return (await response.json())["calls"]


async def _change_settings(fleet: LocalFleet, number: int) -> float:
    """Change the settings and return the time until all nodes have them in force.

    The time includes the start of the command-line tool's process, so it is an upper
    bound.
    """
    version = number + 1
    text = DEFAULT_BRANCH.replace("slots = 6", f"slots = {7 + number}")
    started = time.monotonic()
    await fleet.put_branch("demo", text, version)
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        while not await _is_in_force(fleet, version + 1):  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    return time.monotonic() - started


async def _is_in_force(fleet: LocalFleet, version: int) -> bool:
    try:
        statuses = await _statuses(fleet)
    except aiohttp.ClientError:
        return False
    versions = [status["documents"].get("settings/demo", 0) for status in statuses]
    return min(versions) >= version
