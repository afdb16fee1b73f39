"""Faults that the soak test injects; each one reverts its own effect."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.platform.fleet import Fleet
from tests.soak.proxy import FaultProxy, LinkFault

STOP_TIMEOUT_S = 6.0


@dataclass
class Target:
    """The fleet that faults act on, with its proxies and the faults' effects.

    ``disruptions`` holds a node with the start and the end of each kill, stop or pause
    of its process.
    """

    fleet: Fleet
    random: random.Random
    store_proxies: dict[int, FaultProxy] = field(default_factory=dict)
    worker_proxies: dict[int, FaultProxy] = field(default_factory=dict)
    disruptions: list[tuple[int, float, float]] = field(default_factory=list)
    version: int = 5
    problems: list[str] = field(default_factory=list)
    restarting: set[int] = field(default_factory=set)

    def pick_nodes(self, max_count: int) -> list[int]:
        """Return up to ``max_count`` random nodes that are not being restarted."""
        free = [i for i in range(self.fleet.count) if i not in self.restarting]
        count = self.random.randint(1, max_count)
        return self.random.sample(free, min(count, len(free)))


async def kill(target: Target, duration_s: float) -> None:
    """Kill between one and all processes at once, then restart them."""
    nodes = target.pick_nodes(target.fleet.count)
    await _restart(target, nodes, duration_s, target.fleet.kill(*nodes))


async def terminate(target: Target, duration_s: float) -> None:
    """Stop a process with SIGTERM and check that it exits in time; restart it."""
    (node,) = target.pick_nodes(1) or (None,)
    if node is None:
        return

    async def stop() -> None:
        process = target.fleet.processes[node]
        is_started = await target.fleet.is_ready(node)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await process.wait()
        except TimeoutError:
            target.problems.append(
                f"node {node} did not stop within {STOP_TIMEOUT_S} s"
            )
            process.kill()
            await process.wait()
            return
        # A process that is still starting has not installed its signal handler.
        if status not in (0, -signal.SIGTERM) or (status and is_started):
            target.problems.append(f"node {node} stopped with status {status}")

    await _restart(target, [node], duration_s, stop())


async def _restart(
    target: Target, nodes: list[int], duration_s: float, stop: Awaitable[None]
) -> None:
    if not nodes:
        return
    loop = asyncio.get_running_loop()
    target.restarting.update(nodes)
    began = loop.time()
    await stop
    await asyncio.sleep(min(duration_s, 1.5))
    for node in nodes:
        await target.fleet.start(node)
        target.disruptions.append((node, began, loop.time()))
    target.restarting.difference_update(nodes)


async def pause(target: Target, duration_s: float) -> None:
    """Suspend processes with SIGSTOP and resume them."""
    nodes = target.pick_nodes(2)
    processes = [target.fleet.processes[node] for node in nodes]
    began = asyncio.get_running_loop().time()
    for process in processes:
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        ended = asyncio.get_running_loop().time()
        target.disruptions += [(node, began, ended) for node in nodes]


async def reload(target: Target, duration_s: float) -> None:
    """Send SIGHUP, which makes processes reload their settings files."""
    for node in target.pick_nodes(2):
        process = target.fleet.processes[node]
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)


async def fail_store(target: Target, duration_s: float) -> None:
    """Make the store fail in one of several ways.

    It is down, leaves calls unanswered, rejects the calls of some nodes, loses answers
    or drops its event history.
    """
    store = target.fleet.store
    kind = target.random.choice(["down", "silent", "reject", "lose", "forget"])
    match kind:
        case "down":
            store.is_down = True
        case "silent":
            store.is_silent = True
        case "reject":
            store.rejected.update(target.fleet.ip(i) for i in target.pick_nodes(2))
        case "lose":
            store.lost_share = 0.4
        case "forget":
            store.forget_history()
    try:
        await asyncio.sleep(duration_s)
    finally:
        store.is_down = store.is_silent = False
        store.rejected.clear()
        store.lost_share = 0.0


async def restore_store(target: Target, duration_s: float) -> None:
    """Let the store come back from a copy as old as the fault lasts."""
    state = target.fleet.store.take_copy()
    away_s = target.random.uniform(0.1, 0.8)
    await asyncio.sleep(duration_s)
    await target.fleet.restore_store(state, away_s)


async def fail_links(target: Target, duration_s: float) -> None:
    """Inject faults into connections to the store or to workers."""
    proxies_by_node = target.random.choice(
        [target.store_proxies, target.worker_proxies]
    )
    proxies = [proxies_by_node[node] for node in target.pick_nodes(2)]
    kind = target.random.choice([*LinkFault, "reset", "silence"])
    for proxy in proxies:
        match kind:
            case "reset":
                proxy.reset_all()
            case "silence":
                proxy.silence_all()
            case _:
                proxy.delay_s = target.random.uniform(0.05, 0.4)
                proxy.link_fault = kind
    try:
        await asyncio.sleep(duration_s)
    finally:
        for proxy in proxies:
            proxy.link_fault = LinkFault.NONE


async def restart_worker(target: Target, duration_s: float) -> None:
    """Stop a worker without a leave message and start a new incarnation of it."""
    (node,) = target.pick_nodes(1) or (0,)
    if node not in target.fleet.workers:
        return
    await target.fleet.stop_worker(node)
    await asyncio.sleep(min(duration_s, 2.0))
    await target.fleet.start_worker(node)


async def drain_worker(target: Target, duration_s: float) -> None:
    """Let a worker announce that it is draining, then replace it."""
    (node,) = target.pick_nodes(1) or (0,)
    worker = target.fleet.workers.get(node)
    if worker is None:
        return
    worker.state = "draining"
    await asyncio.sleep(max(duration_s, 2.5))
    if target.fleet.workers.get(node) is worker:
        await target.fleet.stop_worker(node)
        await target.fleet.start_worker(node)


async def change_settings(target: Target, duration_s: float) -> None:
    """Write several versions of the operator's settings in quick succession."""
    for _ in range(target.random.randint(1, 4)):
        target.version += target.random.randint(1, 3)
        await target.fleet.put_routing(target.version)
        await asyncio.sleep(0.2)


Fault = Callable[[Target, float], Awaitable[None]]

FAULTS: tuple[Fault, ...] = (
    kill,
    terminate,
    pause,
    reload,
    fail_store,
    fail_store,
    fail_links,
    fail_links,
    restart_worker,
    drain_worker,
    change_settings,
)

RESTORE_FAULTS: tuple[Fault, ...] = (*FAULTS, *3 * (restore_store,))
