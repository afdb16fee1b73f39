"""Base classes for components that run a background task within a context."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from typing import Self

import structlog

RESTART_DELAY_S = 0.5

log = structlog.get_logger()

# Unexpected errors of the tasks of this process, by class.
task_failures: Counter[str] = Counter()


async def cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in list(tasks):
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


class TaskOwner:
    """Runs ``run`` as a task from entry of the context, or ``start``, until exit.

    After an unexpected error, which is logged and counted in ``task_failures``, ``run``
    is called again.
    """

    task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task without entering the context."""
        self.task = asyncio.create_task(self._run_until_done())

    async def __aenter__(self) -> Self:
        self.start()
        return self

    async def __aexit__(self, *error) -> None:
        if self.task is None:
            return
        self.task.cancel()
        with suppress(asyncio.CancelledError):
            await self.task

    async def _run_until_done(self) -> None:
        while True:
            try:
                await self.run()
                return
            except Exception:
                part = type(self).__name__
                task_failures[part] += 1
                log.exception("task_failed", part=part)
                await asyncio.sleep(RESTART_DELAY_S)

    async def run(self) -> None:
        """Do the work of the task, which is cancelled at exit."""
        raise NotImplementedError


class PeriodicTask(TaskOwner):
    """Calls ``step`` every ``interval_s`` seconds.

    An exception in a step is logged and does not stop the task.
    """

    interval_s: float

    async def run(self) -> None:
        """Call ``step`` periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            try:
                await self.step()
            except Exception:
                task_failures[type(self).__name__] += 1
                log.exception("step_failed", part=type(self).__name__)

    async def step(self) -> None:
        """Do the work of one interval."""
        raise NotImplementedError
