"""Runs a case: starts a small fleet, writes its record and sets the exit code."""

import asyncio
import sys
import tempfile
import time
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from tests.platform.fleet import Fleet

KEPT, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0


class Recorder:
    """Lines with the seconds since the start, for ``record.txt``."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Append a line with the present time."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f}  {text}")


@asynccontextmanager
async def running(fleet: Fleet) -> AsyncIterator[Fleet]:
    """Start a fleet, and end its processes even if the start fails."""
    try:
        await fleet.__aenter__()
        yield fleet
    finally:
        await fleet.__aexit__()


def run_case(
    record: Path,
    has_trouble: bool,
    play: Callable[[Path, Recorder], Awaitable[list[str]]],
) -> None:
    """Play a case, write its record and exit.

    ``play`` returns what has broken the rule.
    """
    recorder = Recorder()
    recorder.note(f"trouble: {has_trouble}")
    try:
        with tempfile.TemporaryDirectory() as path:
            problems = asyncio.run(
                asyncio.wait_for(play(Path(path), recorder), MAX_RUN_S)
            )
    except Exception:
        recorder.note(f"the case could not run:\n{traceback.format_exc(limit=-3)}")
        code = NOT_RUN
    else:
        for problem in problems:
            recorder.note(f"BROKEN: {problem}")
        code = BROKEN if problems else KEPT
    recorder.note(f"exit code {code}")
    root = str(Path(__file__).parents[2]) + "/"
    text = "\n".join(recorder.lines).replace(root, "") + "\n"
    record.write_text(text)
    print(text, end="")
    sys.exit(code)
