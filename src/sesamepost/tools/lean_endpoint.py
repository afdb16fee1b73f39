"""A minimal endpoint with low overhead, so that it does not limit a measurement.

It answers every request with a small JSON body that contains what the load generator
checks. Unlike ``sesamepost-endpoint``, it simulates no faults and checks no fence.
"""

import asyncio
import json
import os

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import defopt
import uvloop
from aiohttp import web
from aiohttp.web_request import BaseRequest

HOST = "127.0.0.1"
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5
CONNECTIONS = 110


async def _respond(request: BaseRequest) -> web.Response:
    body = await request.read() if request.body_exists else b""
    content = {
        "key": request.headers.get("Sesamepost-Key", ""),
        "request_id": request.headers.get("X-Request-Id", ""),
        "body_length": len(body),
    }
    return web.Response(
        body=json.dumps(content).encode(), content_type="application/json"
    )


async def _announce(daemon: str, service: str, url: str, slots: int) -> None:
    report = {
        "url": url,
        "fenced": False,
        "slots": slots,
        "connections": CONNECTIONS,
        "state": "ready",
        "load": 0.0,
    }
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            try:
                async with session.put(f"{daemon}/v1/endpoints/{service}", json=report):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                # The daemon may not have started yet.
                pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def _serve(port: int, service: str, announce: str, slots: int) -> None:
    runner = web.ServerRunner(web.Server(_respond), handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    if announce:
        await _announce(announce, service, f"http://{HOST}:{port}", slots)
    await asyncio.Event().wait()


def run(
    *, port: int, service: str = "lookup", announce: str = "", slots: int = 64
) -> None:
    """Answer every request immediately.

    :param port: port on loopback to listen on
    :param service: name of the service to announce
    :param announce: base URL of a daemon's port for endpoints; empty announces nothing
    :param slots: number of slots to announce
    """
    uvloop.run(_serve(port, service, announce, slots))


def main() -> None:
    """Entry point of ``python -m sesamepost.tools.lean_endpoint``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
