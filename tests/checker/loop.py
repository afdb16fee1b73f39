"""An event loop on a virtual clock, whose callbacks belong to simulated processes.

A process is found by the context of a callback, so the code that runs in it needs no
change. Nothing inside a process can change while one of its callbacks runs, so a stop
between two lines of a callback is simulated exactly: what the process reads and sends
after the stop is later by its length, and its other callbacks wait.
"""

import asyncio
import itertools
import time
from collections import deque
from contextlib import contextmanager
from contextvars import Context, ContextVar, copy_context
from heapq import heappop, heappush
from types import SimpleNamespace

from sesamepost.internal import clock

# Callbacks that go on without waiting for anything take time on a real machine, about
# 50 us each.
MAX_CALLBACKS_AT_ONCE = 1000
BUSY_S = 0.05
# A process that is busy for this long in an order never waits.
MAX_BUSY_S = 5.0


class StuckError(Exception):
    """The callbacks of an order go on without end, or none is left."""


class Process:
    """One simulated process; its clock is ``offset_s`` ahead of the loop's."""

    __slots__ = (
        "context",
        "has_ended",
        "held",
        "is_slow_stop",
        "lag_s",
        "loop",
        "name",
        "offset_s",
        "reads",
        "stop_at_read",
        "stop_s",
        "stopped_until",
        "tasks",
        "thawed_at",
        "turn_s",
    )

    def __init__(self, loop: "VirtualLoop", name: str, offset_s: float = 0.0) -> None:
        self.loop = loop
        self.name = name
        self.offset_s = offset_s
        self.has_ended = False
        self.stopped_until = 0.0
        # When the last freeze ended; a stop by slowness is no freeze.
        self.thawed_at = float("-inf")
        self.turn_s = 0.0
        self.lag_s = 0.0
        self.reads = 0
        self.stop_at_read = 0
        self.stop_s = 0.0
        self.is_slow_stop = False
        self.held: deque[asyncio.Handle] = deque()
        self.tasks: list[asyncio.Task] = []
        self.context = Context()
        self.context.run(PROCESS.set, self)
        loop.processes.append(self)

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine in this process."""
        return self.loop.create_task(work, context=self.context.copy())

    def call_at(self, when: float, callback, *args) -> asyncio.TimerHandle:
        """Call a function in this process at a time of the loop."""
        return self.loop.call_at(when, callback, *args, context=self.context)

    def stop(self, duration_s: float, is_slow: bool = False) -> None:
        """Run nothing for ``duration_s`` seconds, beginning after this callback.

        A stop is a freeze unless ``is_slow``.
        """
        until = self.loop.now + duration_s
        if until <= self.stopped_until:
            return
        self.stopped_until = until
        if not is_slow:
            self.thawed_at = until
        self.loop.call_at(until, self.loop.resume, self, context=Context())

    def stop_after(self, reads: int, duration_s: float, is_slow: bool) -> None:
        """Stop right after the given number of reads of the clock from now."""
        self.stop_at_read = self.reads + reads
        self.stop_s = duration_s
        self.is_slow_stop = is_slow

    def end(self) -> None:
        """Run nothing any more."""
        self.has_ended = True
        self.held.clear()

    def read_clock(self) -> float:
        """Return the time on the clock of this process."""
        now = self.loop.now + self.lag_s + self.offset_s
        self.reads += 1
        if self.reads == self.stop_at_read and self.loop.running is self:
            self.lag_s += self.stop_s
            self.stop(self.lag_s, self.is_slow_stop)
        return now


PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs callbacks in the order of a virtual clock, without waiting.

    ``running`` is the process whose callback runs, None for the loop's own ones.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.running: Process | None = None
        self.processes: list[Process] = []
        # When each timer is due, its number and its handle.
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.numbers = itertools.count()
        self.callbacks_at_once = 0
        # The time for which callbacks have run without waiting for anything.
        self.busy_s = 0.0
        self.is_over = False
        self.network = None
        self.outside: set[asyncio.Task] = set()
        self.errors: list[dict] = []
        self._clock_resolution = 1e-9
        self.set_task_factory(_create_task)
        self.set_exception_handler(lambda loop, context: loop.errors.append(context))

    def time(self) -> float:
        """Return the time of the loop as the running process sees it."""
        return self.now if self.running is None else self.now + self.running.lag_s

    def resume(self, process: Process) -> None:
        """Let a process run what was due during its stop."""
        if process.stopped_until > self.now or process.has_ended:
            return
        self._ready.extend(process.held)
        process.held.clear()

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        """Call a function in the next iteration."""
        handle = asyncio.Handle(callback, args, self, context)
        if not self.is_over:
            self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """Call a function at a time; those of the same time keep their order."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if not self.is_over:
            heappush(self.timers, (when, next(self.numbers), handle))
        return handle

    def call_later(self, delay, callback, *args, context=None) -> asyncio.TimerHandle:
        """Call a function after a delay in seconds."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def _run_once(self) -> None:
        """Run what is due; if nothing is, go to the time of the next timer."""
        timers, ready = self.timers, self._ready
        while timers and timers[0][2]._cancelled:
            heappop(timers)
        if not ready:
            if not timers:
                raise StuckError("no callback is left")
            if timers[0][0] > self.now:
                self.now = timers[0][0]
                self.callbacks_at_once = 0
        while timers and timers[0][0] <= self.now:
            ready.append(heappop(timers)[2])
        self.callbacks_at_once += len(ready)
        if self.callbacks_at_once > MAX_CALLBACKS_AT_ONCE:
            self._note_busy()
        for _ in range(len(ready)):
            self._run_handle(ready.popleft())

    def _note_busy(self) -> None:
        """Let time pass, as callbacks go on without waiting."""
        self.callbacks_at_once = 0
        self.now += BUSY_S
        self.busy_s += BUSY_S
        if self.busy_s > MAX_BUSY_S:
            raise StuckError(f"callbacks run without end at {self.now:.3f}")

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if handle._cancelled:
            return
        process = handle._context.get(PROCESS)
        if process is None:
            handle._run()
            return
        if process.has_ended:
            return
        if process.stopped_until > self.now:
            process.held.append(handle)
            return
        self.running = process
        handle._run()
        self.running = None
        process.lag_s = 0.0
        if process.turn_s:
            process.stop(process.turn_s, is_slow=True)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing; cancelled timers are dropped when their time comes."""

    def _write_to_self(self) -> None:
        """Do nothing; there are no other threads."""

    async def create_connection(self, factory, host=None, port=None, **options):
        """Connect to a listener of the simulated network."""
        return await self.network.connect(factory, host, port)

    async def create_server(self, factory, host, port):
        """Listen in the running process at a host of the simulated network."""
        return self.network.listen(factory, host, port)

    def spawn_outside(self, work) -> None:
        """Run a coroutine that belongs to no process."""
        task = self.create_task(work, context=Context())
        self.outside.add(task)
        task.add_done_callback(self.outside.discard, context=Context())

    def close_tasks(self) -> None:
        """End all coroutines, so that none is collected at a random time later."""
        self.is_over = True
        tasks = [task for process in self.processes for task in process.tasks]
        for task in [*tasks, *self.outside]:
            if not task.done():
                task._log_destroy_pending = False
                _close(task.get_coro())


def _create_task(loop: VirtualLoop, coro, **options) -> asyncio.Task:
    task = asyncio.Task(coro, loop=loop, **options)
    context = options.get("context")
    process = (context or copy_context()).get(PROCESS)
    if process is not None:
        process.tasks.append(task)
    return task


def _close(coroutine) -> None:
    try:
        coroutine.close()
    except RuntimeError:
        # It awaits something while it ends, which no loop runs any more.
        return


@contextmanager
def virtual_loop():
    """Provide a loop whose time is that of ``internal/clock`` while it is in use."""
    loop = VirtualLoop()

    def read(number: int) -> float:
        running = loop.running
        if running is not None:
            return running.read_clock()
        process = PROCESS.get()
        return loop.now + (process.offset_s if process else 0.0)

    replaced = SimpleNamespace(clock_gettime=read, CLOCK_BOOTTIME=time.CLOCK_BOOTTIME)
    original, clock.time = clock.time, replaced
    try:
        yield loop
    finally:
        loop.close_tasks()
        clock.time = original
        loop._ready.clear()
        loop.timers.clear()
        loop.close()
