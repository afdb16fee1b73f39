"""Real node processes with the project's stand-ins, and the record of a case."""

import asyncio
import copy
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.platform.fleet import ROUTING, Fleet

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 110.0


class CaseRecord:
    """Writes what was sent, answered and run to ``record.txt``, with its time."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        folder.mkdir(exist_ok=True)
        self.file = (folder / "record.txt").open("w", buffering=1)

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


def has_trouble() -> bool:
    """Return whether the disruption is to be applied."""
    return os.environ.get("TROUBLE", "1") != "0"


def routing_with_paths(*paths: dict) -> dict:
    """Return the routing settings of the stand-ins with further routes."""
    routing = copy.deepcopy(ROUTING)
    routing["virtualHosts"][0]["paths"] += paths
    return routing


def path(name: str, kind: str, service: str) -> dict:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutS": 2.0,
        "targetLatencyS": 0.8,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    }


def run_case(
    folder: Path,
    make_fleet: Callable[[Path], Fleet],
    case: Callable[[Fleet, CaseRecord], Awaitable[bool]],
) -> None:
    """Run ``case`` with a fleet and exit; it returns whether the rule was kept."""
    record = CaseRecord(folder)

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(TIME_LIMIT_S):
                async with make_fleet(Path(temporary)) as fleet:
                    return await case(fleet, record)

    try:
        is_kept = asyncio.run(run())
    except BaseException:
        record.note(traceback.format_exc())
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)
    record.note("the rule was kept" if is_kept else "the rule was broken")
    print("the rule was kept" if is_kept else "the rule was broken")
    sys.exit(EXIT_HELD if is_kept else EXIT_BROKEN)
