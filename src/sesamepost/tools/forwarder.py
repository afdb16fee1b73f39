"""A bare HTTP forwarder: one aiohttp server hop and one client hop without checks.

Its CPU time per request is the cost of the two HTTP hops alone. The difference to the
CPU time of the daemons is the overhead of the router.
"""

import asyncio
import os

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import defopt
import uvloop
from aiohttp import web
from aiohttp.web_request import BaseRequest

HOST = "127.0.0.1"
# Only the headers that the load generator checks are forwarded. Filtering headers is
# the router's work and counts as its overhead.
FORWARDED_HEADERS = ("Sesamepost-Key", "X-Request-Id")


async def _serve(port: int, target: str) -> None:
    async with aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar(),
        connector=aiohttp.TCPConnector(limit=110),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    ) as session:

        async def forward(request: BaseRequest) -> web.Response:
            body = await request.read() if request.body_exists else None
            request_headers = request.headers
            headers = {
                name: request_headers[name]
                for name in FORWARDED_HEADERS
                if name in request_headers
            }
            async with session.request(
                request.method, target + request.raw_path, data=body, headers=headers
            ) as response:
                return web.Response(status=response.status, body=await response.read())

        runner = web.ServerRunner(web.Server(forward), handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        await asyncio.Event().wait()


def run(*, port: int, target: str) -> None:
    """Forward every request to one target.

    :param port: port on loopback to listen on
    :param target: base URL of the endpoint
    """
    uvloop.run(_serve(port, target))


def main() -> None:
    """Entry point of ``python -m sesamepost.tools.forwarder``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
