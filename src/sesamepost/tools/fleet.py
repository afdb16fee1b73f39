"""Run a small fleet of separate processes on loopback, for demos and tests."""

import asyncio
import os
import secrets
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import defopt

HOST = "127.0.0.1"
PORTS_PER_VM = 10
START_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 35.0
DOMAINS_PER_REGION = 2

DEFAULT_BRANCH = """\
[team]

[service:lookup]
partitions = 64
slots = 6
connections = 110
"""


@dataclass(slots=True)
class LocalVm:
    """The ports and processes of one simulated VM; all of them are on loopback."""

    name: str
    failure_domain: str
    region: str
    base_port: int
    settings_path: Path
    daemon: asyncio.subprocess.Process | None = None
    endpoints: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    @property
    def callers(self) -> str:
        """Base URL of the callers' port."""
        return f"http://{HOST}:{self.base_port}"

    @property
    def peers(self) -> str:
        """Address of the peers' port."""
        return f"{HOST}:{self.base_port + 1}"

    @property
    def operators(self) -> str:
        """Base URL of the operators' port."""
        return f"http://{HOST}:{self.base_port + 2}"

    @property
    def announcements(self) -> str:
        """Base URL of the endpoints' port."""
        return f"http://{HOST}:{self.base_port + 3}"

    def endpoint_port(self, index: int) -> int:
        """Return the port of the endpoint of the service at ``index``."""
        return self.base_port + 4 + index


class LocalFleet:
    """A fleet of separate processes on loopback; an async context manager.

    The ``vms`` VMs are distributed evenly over the failure domains. Two failure domains
    form a region.
    """

    def __init__(
        self,
        directory: Path,
        vms: int,
        base_port: int,
        services: tuple[str, ...] = ("lookup",),
        failure_domains: int = 3,
        endpoint_options: tuple[str, ...] = (),
    ) -> None:
        self.directory = directory
        self.base_port = base_port
        self.services = services
        self.endpoint_options = endpoint_options
        self.store: asyncio.subprocess.Process | None = None
        self.processes: list[asyncio.subprocess.Process] = []
        self.stack = AsyncExitStack()
        self.session: aiohttp.ClientSession | None = None
        self.vms = [self._create_vm(index, failure_domains) for index in range(vms)]

    def _create_vm(self, index: int, failure_domains: int) -> LocalVm:
        domain = index % failure_domains
        name = f"vm-{index:02d}"
        return LocalVm(
            name,
            f"fd-{domain}",
            f"region-{domain // DOMAINS_PER_REGION}",
            self.base_port + PORTS_PER_VM * (index + 1),
            self.directory / f"{name}.ini",
        )

    @property
    def store_url(self) -> str:
        """Base URL of the stand-in for the platform's store."""
        return f"http://{HOST}:{self.base_port}"

    async def __aenter__(self) -> "LocalFleet":
        self.directory.mkdir(parents=True, exist_ok=True)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        self.stack.push_async_callback(self._stop_all)
        key_path = self.directory / "peers.key"
        key_path.write_text(secrets.token_hex(16))
        for vm in self.vms:
            self._write_settings(vm, key_path)
        return self

    async def __aexit__(self, *error) -> None:
        await self.stack.aclose()

    def _write_settings(self, vm: LocalVm, key_path: Path) -> None:
        seeds = ", ".join(other.peers for other in self.vms[:3] if other is not vm)
        address = vm.base_port
        vm.settings_path.write_text(
            f"[node]\nvm = {vm.name}\nfailure_domain = {vm.failure_domain}\n"
            f"region = {vm.region}\n"
            f"[callers]\naddress = {HOST}:{address}\n"
            f"[peers]\naddress = {HOST}:{address + 1}\nkey_file = {key_path.name}\n"
            f"seeds = {seeds}\n"
            f"[operators]\naddress = {HOST}:{address + 2}\n"
            f"[endpoints]\naddress = {HOST}:{address + 3}\n"
            f"[store]\nurl = {self.store_url}\n"
        )

    async def start(self, branch: str = DEFAULT_BRANCH, team: str = "demo") -> None:
        """Start the store, the daemons and the endpoints; wait until all are ready."""
        await self.start_store()
        await self.put_branch(team, branch)
        for vm in self.vms:
            await self.start_vm(vm)
        await self.wait_ready(self.vms)

    async def start_store(self) -> None:
        """Start the stand-in for the platform's store."""
        self.store = await self.run(
            "sesamepost.standins.store", "--port", str(self.base_port)
        )
        await self._wait_for(f"{self.store_url}/v1/values?prefix=")

    async def put_branch(self, team: str, text: str, version: int = 0) -> None:
        """Write a team's branch with the command-line tool."""
        path = self.directory / f"{team}.ini"
        path.write_text(text)
        process = await self.run(
            "sesamepost.internal.cli.main",
            "put",
            team,
            str(path),
            "--if-version",
            str(version),
            "--store",
            self.store_url,
            "--author",
            "fleet",
        )
        if await process.wait() != 0:
            raise RuntimeError(f"failed to write the branch of team {team}")

    async def start_vm(self, vm: LocalVm) -> None:
        """Start the daemon and the endpoints of one VM."""
        await self.start_daemon(vm)
        for service in self.services:
            await self.start_endpoint(vm, service)

    async def start_daemon(self, vm: LocalVm) -> None:
        """Start the daemon of one VM."""
        log_path = self.directory / f"{vm.name}.log"
        vm.daemon = await self.run(
            "sesamepost.internal.daemon.main",
            "--settings",
            str(vm.settings_path),
            log_path=log_path,
        )

    async def start_endpoint(self, vm: LocalVm, service: str) -> None:
        """Start the endpoint of one service on one VM."""
        index = self.services.index(service)
        vm.endpoints[service] = await self.run(
            "sesamepost.standins.endpoint",
            "--port",
            str(vm.endpoint_port(index)),
            "--service",
            service,
            "--announce",
            vm.announcements,
            *self.endpoint_options,
        )

    async def run(
        self, module: str, *arguments: str, log_path: Path | None = None
    ) -> asyncio.subprocess.Process:
        """Start a Python module as a process that is killed together with the fleet."""
        stderr = None if log_path is None else log_path.open("ab")
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=stderr,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        finally:
            if stderr is not None:
                stderr.close()
        self.processes.append(process)
        return process

    async def wait_ready(self, vms: list[LocalVm]) -> None:
        """Wait until the daemons report that they are ready."""
        await asyncio.gather(*(self._wait_for(f"{vm.operators}/ready") for vm in vms))

    async def _wait_for(self, url: str) -> None:
        last_response = "no answer"
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while True:
                    try:
                        async with self.session.get(url) as response:
                            if response.status == 200:
                                return
                            last_response = (
                                f"{response.status}: {await response.text()}"
                            )
                    except aiohttp.ClientError as error:
                        last_response = str(error)
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise RuntimeError(
                f"{url} was not ready: {last_response.strip()}"
            ) from None

    async def status(self, vm: LocalVm) -> dict:
        """Return the status that the daemon of a VM reports."""
        async with self.session.get(f"{vm.operators}/status") as response:
            return await response.json()

    async def _stop_all(self) -> None:
        for process in reversed(self.processes):
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()


async def _serve(vms: int, base_port: int, requests: int, keep: bool) -> int:
    with tempfile.TemporaryDirectory(prefix="sesamepost-") as directory:
        async with LocalFleet(Path(directory), vms, base_port) as fleet:
            await fleet.start()
            print(f"{vms} VMs are ready")
            failures = await _send_requests(fleet, requests)
            print(f"{requests - failures} of {requests} requests were answered")
            print(f"callers' port of {fleet.vms[0].name}: {fleet.vms[0].callers}")
            print(f"operators' port of {fleet.vms[0].name}: {fleet.vms[0].operators}")
            print(f"store: {fleet.store_url}")
            if keep:
                print("press Ctrl-C to stop", flush=True)
                await _wait_for_interrupt()
            return 1 if failures else 0


async def _send_requests(fleet: LocalFleet, requests: int) -> int:
    failures = 0
    for number in range(requests):
        vm = fleet.vms[number % len(fleet.vms)]
        headers = {
            "Sesamepost-Service": fleet.services[0],
            "Sesamepost-Key": f"key-{number}",
        }
        async with fleet.session.get(f"{vm.callers}/demo", headers=headers) as response:
            text = await response.text()
            print(f"{vm.name} answered {response.status}: {text.strip()[:120]}")
            failures += response.status != 200
    return failures


async def _wait_for_interrupt() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()


def run(
    *, vms: int = 6, base_port: int = 19000, requests: int = 6, keep: bool = True
) -> None:
    """Start a fleet of separate processes on loopback and send requests through it.

    :param vms: number of VMs, each with a daemon and an endpoint
    :param base_port: first port to use; each VM reserves 10 ports
    :param requests: number of requests to send once the fleet is ready
    :param keep: keep the fleet running until it is interrupted
    """
    sys.exit(asyncio.run(_serve(vms, base_port, requests, keep)))


def main() -> None:
    """Entry point of ``sesamepost-fleet``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
