"""Entry point of the router process that runs beside a worker."""

import asyncio
import gc
import os
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

# libuv may use io_uring, which the machines do not allow. The variable must be set
# before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"
# aiohttp loads the system's certificates twice on import, which takes a tenth of the
# startup time. This process does not use TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

import structlog
import uvloop

from sesamepost.internal.forwarding.node import Node
from sesamepost.internal.forwarding.node_settings import NodeSettings
from sesamepost.internal.telemetry.logs import NonBlockingOutput, configure_logs
from sesamepost.platform.control_plane import ControlPlane
from sesamepost.platform.endpoint_commands import WorkerCommands
from sesamepost.platform.names import (
    EVACUATION_PREFIX,
    HEADERS,
    OPERATOR_KEY,
    SETTINGS_VARIABLE,
)
from sesamepost.platform.routing import decode_routing
from sesamepost.platform.settings import SettingsError, read_settings
from sesamepost.platform.store import PlatformStore

EXIT_USAGE = 2
GC_THRESHOLD = 50_000

log = structlog.get_logger()


async def serve(settings: NodeSettings, path: Path) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully.

    SIGHUP reloads the settings at ``path``.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(PlatformStore(settings.store_url))
        commands = await stack.enter_async_context(
            WorkerCommands(settings.endpoint_address)
        )
        node = Node(
            settings,
            store,
            commands,
            HEADERS,
            OPERATOR_KEY,
            decode_routing,
            EVACUATION_PREFIX,
        )
        await stack.enter_async_context(node)
        loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
        control_plane = await stack.enter_async_context(ControlPlane(node))
        node.metrics.add_counters("platform_refusals", control_plane.refusals.counters)
        await stop.wait()
        await node.stop()


def main() -> None:
    """Run with the settings file that the platform names in the environment."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"set the environment variable {SETTINGS_VARIABLE} to the settings file",
            file=sys.stderr,
        )
        sys.exit(EXIT_USAGE)
    try:
        settings = read_settings(Path(path))
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    configure_logs(settings.name, NonBlockingOutput(sys.stdout.fileno()))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(serve(settings, Path(path)))


def _reload(node: Node, path: Path) -> None:
    try:
        node.reload(read_settings(path))
    except SettingsError as error:
        log.error("reload_failed", error=str(error))


if __name__ == "__main__":
    main()
