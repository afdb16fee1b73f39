"""Entry point of ``sesamepostd``."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

# libuv may use io_uring, which the VMs do not allow. This must be set before uvloop is
# imported.
os.environ["UV_USE_IO_URING"] = "0"

import defopt
import structlog
import uvloop

from sesamepost.internal.daemon.daemon import Daemon
from sesamepost.internal.settings.model import ProcessSettings
from sesamepost.internal.settings.process import read_process_settings
from sesamepost.internal.telemetry.logs import configure_logs

EXIT_USAGE = 2
# Requests create few reference cycles, but with the default threshold the garbage
# collector takes a noticeable share of the time of each request.
GC_THRESHOLD = 50_000

log = structlog.get_logger()


async def serve(settings: ProcessSettings) -> None:
    """Run daemons until SIGTERM or SIGINT is received.

    A fenced incarnation can never serve again, so a new one replaces it.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        async with Daemon(settings) as daemon:
            await daemon.run(stop)


def run(*, settings: Path) -> None:
    """Route requests to the servers that own their keys.

    One daemon runs on each endpoint VM. SIGTERM asks it to hand its keys over, to
    finish the requests in flight and to exit.

    :param settings: INI file with the addresses, the failure domain and the store
    """
    result = read_process_settings(settings)
    if result.is_error():
        for problem in result.error:
            print(f"sesamepostd: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    process_settings = result.ok
    configure_logs(process_settings.vm)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(serve(process_settings))


def main() -> None:
    """Parse the command line and run the daemon."""
    defopt.run(run)


if __name__ == "__main__":
    main()
