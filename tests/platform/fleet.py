"""Real node processes with stand-in workers, on separate loopback addresses."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
from base64 import b64decode
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import aiohttp

from tests.platform.store_standin import StoreStandin
from tests.platform.worker_standin import (
    HEARTBEAT_S,
    HeartbeatWorkerStandin,
    Record,
    WorkerStandin,
)

ROOT = Path(__file__).parents[2]
PORT_RANGE = (20_000, 32_000)
PORT_NAMES = ("callers", "ready", "control", "inbound", "worker", "peer", "metrics")
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
REQUEST_IDS = itertools.count(1)

ROUTING = {
    "version": 5,
    "services": [
        {"name": "keyed", "sharded": True, "warmUpS": 1.0, "grants": "call"},
        {"name": "plain"},
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20},
    "virtualHosts": [
        {
            "host": "app.example",
            "paths": [
                {
                    "name": "k",
                    "prefix": "/k/",
                    "kind": "safe",
                    "timeoutS": 2.0,
                    "targetLatencyS": 0.8,
                    "priority": 1,
                    "maxAttempts": 2,
                    "service": "keyed",
                },
                {
                    "name": "p",
                    "prefix": "/p/",
                    "kind": "unsafe",
                    "timeoutS": 2.0,
                    "targetLatencyS": 0.8,
                    "priority": 0,
                    "maxAttempts": 2,
                    "service": "plain",
                },
            ],
        }
    ],
}

SETTINGS = """
nodeName = "sidecar-{index}"
ip = "{ip}"
zone = "zone-{zone}"
region = "north"
internalPortRange = [{peer}, {metrics}]
applicationAddress = "{ip}:{worker}"
service = "{service}"
heartbeatIntervalS = {heartbeat_interval_s}
[listenAddresses]
inbound = "{ip}:{inbound}"
outbound = "{ip}:{callers}"
readyAddress = "{ip}:{ready}"
controlPlane = "{ip}:{control}"
[bounds]
gracePeriodS = 6
maxHoldS = 10
[platform]
address = "{store}"
"""


def routing_with(version: int, base: dict) -> dict:
    """Return settings like ``base`` with a route that exists only in this version."""
    host = base["virtualHosts"][0]
    plain = host["paths"][1]
    path = {**plain, "name": f"v{version}", "prefix": f"/v{version}/"}
    hosts = [{**host, "paths": [*host["paths"], path]}]
    return {**base, "version": version, "virtualHosts": hosts}


def free_ports() -> dict[str, int]:
    """Return consecutive ports, one for each name, and leave the one after them free.

    They are below the range from which the kernel takes the ports of outgoing
    connections, one of which could have a port when a process is to listen there.
    """
    while True:
        base = random.randrange(*PORT_RANGE, len(PORT_NAMES) + 1)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", base))
            return {name: base + i for i, name in enumerate(PORT_NAMES)}


class Fleet:
    """A store and nodes with a worker each; those with an even index serve keys."""

    worker_type: type[WorkerStandin] = WorkerStandin
    routing = ROUTING
    heartbeat_interval_s = HEARTBEAT_S
    # Appended to the settings file of each node.
    settings_end = ""

    def __init__(self, path: Path, nodes: int = 4) -> None:
        self.path = path
        self.count = nodes
        self.stack = AsyncExitStack()
        self.store = StoreStandin()
        self.record = Record()
        self.workers: dict[int, WorkerStandin] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.ports = free_ports()
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        enter = self.stack.enter_async_context
        await enter(self.store)
        self.session = await enter(aiohttp.ClientSession())
        await self.store.put("op/config", self.routing)
        for index in range(self.count):
            await self.start_worker(index)
        await asyncio.gather(*(self.start(i) for i in range(self.count)))
        await self.wait_until_served()
        if self.count > 1:
            await self.wait_until(self._all_reach_plain_endpoints, READY_TIMEOUT_S)
        return self

    async def __aexit__(self, *error) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for worker in self.workers.values():
            await worker.__aexit__()
        await self.stack.aclose()

    async def _all_reach_plain_endpoints(self) -> bool:
        """Return whether each node reaches an endpoint of the unsharded service."""
        for index in range(self.count):
            try:
                status, _, _ = await self.send_request(index, "/p/known", body="x")
            except (aiohttp.ClientError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    def ip(self, index: int) -> str:
        """Return the IP address of a node, which no other node shares."""
        return f"127.9.{os.getpid() % 250}.{index + 1}"

    def service(self, index: int) -> str:
        """Return the service of a node's worker."""
        return "keyed" if index % 2 == 0 else "plain"

    async def put_routing(self, version: int) -> None:
        """Write a version of the routing settings, as the operator does."""
        await self.store.put("op/config", routing_with(version, self.routing))

    async def restore_store(self, state: dict, away_s: float) -> None:
        """Let the store be away and come back from a copy of ``take_copy``.

        What the operator has written is written again.
        """
        routing = self.store.items["op/config"]["value"]
        self.store.is_down = True
        await asyncio.sleep(away_s)
        await self.store.restore(state)
        self.store.is_down = False
        if self.store.items["op/config"]["value"] != routing:
            await self.store.put("op/config", json.loads(b64decode(routing)))

    def store_address(self, index: int) -> str:
        """Return the address at which a node reaches the store."""
        return self.store.address

    def listening_port(self) -> int:
        """Return the port on which workers listen."""
        return self.ports["worker"]

    async def start_worker(
        self, index: int, worker_id: str = "", first_heartbeat_s: float = 0.0
    ) -> None:
        """Start a new incarnation of a node's worker, under a given id if there is one.

        It sends its first heartbeat ``first_heartbeat_s`` after it listens.
        """
        worker = self.worker_type(
            self.ip(index), self.ports, self.service(index), self.record
        )
        worker.id = worker_id or worker.id
        worker.heartbeat_interval_s = self.heartbeat_interval_s
        worker.first_heartbeat_s = first_heartbeat_s
        worker.listening_port = self.listening_port()
        self.workers[index] = await worker.__aenter__()

    async def stop_worker(self, index: int) -> None:
        """Stop a worker without a leave message."""
        worker = self.workers.pop(index)
        await worker.__aexit__()
        self.record.note_end(worker.life)

    async def crash_worker(self, index: int) -> WorkerStandin:
        """End a worker at once and return it."""
        worker = self.workers.pop(index)
        await worker.crash()
        return worker

    async def start(self, index: int) -> None:
        """Start the process of a node."""
        settings = self.path / f"node-{index}.toml"
        settings.write_text(
            SETTINGS.format(
                index=index,
                ip=self.ip(index),
                zone=index // 2,
                service=self.service(index),
                heartbeat_interval_s=self.heartbeat_interval_s,
                store=self.store_address(index),
                **self.ports,
            )
            + self.settings_end
        )
        log = (self.path / f"node-{index}.log").open("ab")
        environment = {**os.environ, "SESAMEPOST_BOOT": str(settings)}
        self.processes[index] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "node.py"),
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()

    async def kill(self, *indexes: int) -> None:
        """Kill processes with SIGKILL."""
        for index in indexes:
            self.processes[index].kill()
        for index in indexes:
            await self.processes[index].wait()

    def terminate(self, index: int) -> None:
        """Request a graceful stop of a process by SIGTERM."""
        self.processes[index].send_signal(signal.SIGTERM)

    async def send_request(
        self, via: int, path: str, key: int | None = None, body: str = ""
    ):
        """Send a request through a node; return the status, headers and body text."""
        headers = {
            "Host": "app.example",
            "Request-Id": f"r-{next(REQUEST_IDS)}",
            "Deadline-Milliseconds": "2000",
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        url = f"http://{self.ip(via)}:{self.ports['callers']}{path}"
        method = "POST" if body else "GET"
        timeout = aiohttp.ClientTimeout(total=5)
        async with self.session.request(
            method, url, headers=headers, data=body or None, timeout=timeout
        ) as answer:
            return answer.status, answer.headers, await answer.text()

    async def is_ready(self, index: int) -> bool:
        """Return whether a node reports that it is ready."""
        url = f"http://{self.ip(index)}:{self.ports['ready']}/readiness"
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def is_served(self, via: int, key: int) -> bool:
        """Return whether a request for a key through a node succeeds."""
        try:
            status, _, _ = await self.send_request(via, "/k/probe", key)
        except (aiohttp.ClientError, TimeoutError):
            return False
        return status == 200

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> float:
        """Wait for a condition and return the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(timeout_s):
            while True:
                if await condition():
                    return loop.time() - started_at
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_served(
        self, via: int = 1, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Wait until all probed keys are served; return the seconds that it took."""

        async def all_served() -> bool:
            for key in self.record.probed_keys:
                if not await self.is_served(via, key):
                    return False
            return True

        return await self.wait_until(all_served, timeout_s)


class HeartbeatFleet(Fleet):
    """A fleet whose workers take their keys with the answers to their heartbeats."""

    worker_type = HeartbeatWorkerStandin
    routing = {
        **ROUTING,
        "services": [
            {**ROUTING["services"][0], "grants": "heartbeat"},
            ROUTING["services"][1],
        ],
    }
