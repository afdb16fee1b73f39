"""Safe requests with a body, pipelined or sent in one piece, lose their body.

With ``TROUBLE=0`` the same requests are sent one after another, each with its body a
moment after its head. Otherwise three are sent before the first answer, in the same
way, and then further ones alone, each with its head and body in one piece.
"""

import asyncio
from pathlib import Path

from aiohttp import web

from review.common.fleet import (
    CaseRecord,
    has_trouble,
    path,
    routing_with_paths,
    run_case,
)
from tests.platform.fleet import Fleet
from tests.platform.worker_standin import WorkerStandin

ROUNDS = 5
PIPELINED = 3
BODY_PAUSE_S = 0.03
WORK_S = 0.3

# The method, path and body that each worker received, by request id.
received: dict[str, tuple[str, str, str]] = {}


class RecordingWorker(WorkerStandin):
    """A worker that records each request that it runs."""

    async def _request(self, request: web.Request) -> web.Response:
        body = (await request.read()).decode()
        request_id = request.headers["Request-Id"]
        received[request_id] = request.method, str(request.rel_url), body
        self.work_s = WORK_S
        return await super()._request(request)


class CaseFleet(Fleet):
    """Two nodes, one with a worker of the service without keys."""

    worker_type = RecordingWorker
    routing = routing_with_paths(path("s", "safe", "plain"))


class Consumer:
    """One connection of a consumer, which may pipeline requests."""

    def __init__(self, fleet: Fleet, record: CaseRecord) -> None:
        self.fleet = fleet
        self.record = record
        self.sent: dict[str, tuple[str, str, str]] = {}

    async def __aenter__(self) -> "Consumer":
        address = self.fleet.ip(1), self.fleet.ports["callers"]
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def __aexit__(self, *error) -> None:
        self.writer.close()

    async def send(self, request_id: str, pause_s: float) -> None:
        """Send a request, with its body ``pause_s`` after its head."""
        target, body = f"/s/{request_id}", f"body of {request_id}"
        self.sent[request_id] = "POST", target, body
        head = (
            f"POST {target} HTTP/1.1\r\n"
            "Host: app.example\r\n"
            f"Request-Id: {request_id}\r\n"
            "Deadline-Milliseconds: 2000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        if pause_s:
            self.writer.write(head.encode())
            await asyncio.sleep(pause_s)
            self.writer.write(body.encode())
        else:
            self.writer.write((head + body).encode())
        self.record.note(f"sent {request_id}: POST {target} body {body!r}")

    async def read_answer(self) -> None:
        """Read one answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        status, *fields = head.split("\r\n")
        sizes = [f for f in fields if f.lower().startswith("content-length:")]
        body = await self.reader.readexactly(int(sizes[0].partition(":")[2]))
        self.record.note(f"answered: {status}, {body.decode()!r}")


async def run(fleet: Fleet, record: CaseRecord) -> bool:
    """Send requests and return whether each ran with the body that was sent."""
    sent: dict[str, tuple[str, str, str]] = {}
    for number in range(ROUNDS):
        async with Consumer(fleet, record) as consumer:
            for index in range(PIPELINED):
                await consumer.send(f"first-{number}-{index}", BODY_PAUSE_S)
                if not has_trouble():
                    await consumer.read_answer()
            if has_trouble():
                for _ in range(PIPELINED):
                    await consumer.read_answer()
        sent |= consumer.sent
        if not has_trouble():
            continue
        async with Consumer(fleet, record) as consumer:
            await consumer.send(f"alone-{number}", 0.0)
            await consumer.read_answer()
        sent |= consumer.sent
    changed = 0
    for request_id, expected in sent.items():
        ran = received.get(request_id)
        is_changed = ran is not None and ran != expected
        changed += is_changed
        mark = "CHANGED" if is_changed else "as sent"
        record.note(f"run {request_id}: {ran}, {mark}")
    summary = f"{changed} of {len(sent)} requests ran with another body than was sent"
    record.note(summary)
    print(summary)
    return changed == 0


run_case(Path(__file__).parent, lambda folder: CaseFleet(folder, 2), run)
