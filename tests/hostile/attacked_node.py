"""A node process that clients attack, and what it uses meanwhile."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
from aiohttp import web

from tests.hostile.crowd import Client, crowd
from tests.platform.fleet import ROUTING, Fleet
from tests.platform.worker_standin import WorkerStandin

# The node beside the worker of the unsharded service.
ATTACKED = 1
MEMORY_MB = 200
FILE_DESCRIPTORS = 400
MAX_RESIDENT_BYTES = MEMORY_MB * 1_000_000
SAMPLE_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 5.0
ORDINARY_BODY_BYTES = 1000
# However slow the machine is, the node must have answered by then.
ANSWERED_WITHIN_S = 60.0
LIMITS = {
    "maxHeaderBytes": 16 << 10,
    "maxBodyBytes": 8 << 20,
    "headerTimeoutS": 2.0,
    "idleTimeoutS": 5.0,
}
SETTINGS_END = f"""
[limits]
memoryMb = {MEMORY_MB}
fileDescriptors = {FILE_DESCRIPTORS}
"""
ANSWER_PATH = "/p/answer/"


class SizedWorkerStandin(WorkerStandin):
    """Takes bodies of any size; answers with as many bytes as the path says."""

    async def _request(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("Request-Id", "")
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
        headers = {"Request-Id": request_id, "Response-Seal": f"seal-{request_id}"}
        if request.path.startswith(ANSWER_PATH):
            body = b"a" * int(request.path.removeprefix(ANSWER_PATH))
            return web.Response(body=body, headers=headers)
        return web.Response(text=str(size), headers=headers)


class AttackedFleet(Fleet):
    """Two nodes with the memory and the descriptors of a small machine."""

    worker_type = SizedWorkerStandin
    routing = {**ROUTING, "limits": LIMITS}
    settings_end = SETTINGS_END

    def __init__(self, path: Path) -> None:
        super().__init__(path, nodes=2)
        self.request_ids = itertools.count(1)

    async def wait_until_served(self, via: int = 1, timeout_s: float = 20.0) -> float:
        """Wait until requests without a key are served; no key is used here."""
        return await self.wait_until(self._all_reach_plain_endpoints, timeout_s)

    def address(self, port: str = "callers") -> tuple[str, int]:
        """Return the address of a port of the attacked node."""
        return self.ip(ATTACKED), self.ports[port]

    def head(self, path: str = "/p/x", extra: str = "", method: str = "POST") -> bytes:
        """Return the head of a request within the limits, with further fields."""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
            f"Request-Id: h-{next(self.request_ids)}\r\n"
            f"Deadline-Milliseconds: 30000\r\n{extra}\r\n"
        ).encode()

    async def attack(
        self, count: int, act: Callable[[Client], Awaitable[None]], port="callers"
    ) -> None:
        """Let clients act, and send an ordinary request while they stay connected."""
        async with crowd(self.address(port), count, act):
            await self.wait_until(self.is_answered, ANSWERED_WITHIN_S)

    async def is_answered(self) -> bool:
        """Return whether an ordinary request on a new connection is answered 200."""
        headers = {
            "Host": "app.example",
            "Request-Id": f"o-{next(self.request_ids)}",
            "Deadline-Milliseconds": "2000",
        }
        host, port = self.address()
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{host}:{port}/p/x",
                    headers=headers,
                    data=b"o" * ORDINARY_BODY_BYTES,
                    timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
                ) as answer,
            ):
                text = await answer.text()
                return answer.status == 200 and text == str(ORDINARY_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Usage:
    """The largest number of descriptors and the peak memory of a process."""

    def __init__(self, pid: int) -> None:
        self.directory = Path(f"/proc/{pid}")
        self.descriptors = 0
        self.peak_bytes = 0

    def sample(self) -> None:
        """Read the present values; the kernel itself keeps the peak of the memory."""
        with suppress(OSError):
            count = len(list((self.directory / "fd").iterdir()))
            self.descriptors = max(self.descriptors, count)
            for line in (self.directory / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_bytes = int(line.split()[1]) * 1024

    async def sample_on(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@asynccontextmanager
async def attacked(path: Path) -> AsyncIterator[AttackedFleet]:
    """Start a fleet, let the test attack it, and check that the node has held out.

    The checks do not depend on the speed of the machine: the process lives, and its
    memory and its descriptors have stayed within the limits of its machine.
    """
    async with AttackedFleet(path) as fleet:
        process = fleet.processes[ATTACKED]
        usage = Usage(process.pid)
        usage.sample()
        first_bytes = usage.peak_bytes
        sampler = asyncio.create_task(usage.sample_on())
        try:
            yield fleet
        finally:
            sampler.cancel()
            usage.sample()
            print(
                f"memory {first_bytes // 1_000_000} to "
                f"{usage.peak_bytes // 1_000_000} MB, {usage.descriptors} descriptors"
            )
        assert process.returncode is None
        assert usage.peak_bytes < MAX_RESIDENT_BYTES
        assert usage.descriptors <= FILE_DESCRIPTORS
