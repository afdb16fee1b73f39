"""Parts that run one task of their own while their context is open."""

import asyncio
from contextlib import suppress
from typing import Self

import structlog

log = structlog.get_logger()


class TaskOwner:
    """Runs ``run`` from entry, or from ``start``, until exit."""

    task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to run."""
        self.task = asyncio.create_task(self.run())

    async def __aenter__(self) -> Self:
        self.start()
        return self

    async def __aexit__(self, *error) -> None:
        if self.task is None:
            return
        self.task.cancel()
        with suppress(asyncio.CancelledError):
            await self.task

    async def run(self) -> None:
        """Do the work of the task; it is cancelled at exit."""
        raise NotImplementedError


class PeriodicTask(TaskOwner):
    """Calls ``step`` every ``interval_s`` seconds.

    A step that fails is logged and does not end the later ones.
    """

    interval_s: float

    async def run(self) -> None:
        """Call ``step`` until it is cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            try:
                await self.step()
            except Exception:
                log.exception("step_failed", part=type(self).__name__)

    async def step(self) -> None:
        """Do what is due now."""
        raise NotImplementedError
