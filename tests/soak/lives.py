"""Faults around the replacement of a worker by another life of it.

A worker that crashes closes all connections and starts again at the same address, with
a new id or with the id that it had. Each fault draws its values before it first waits,
so that a seed determines them.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import aiohttp

from tests.platform.fleet import Fleet
from tests.platform.worker_standin import GrantFault, WorkerStandin
from tests.soak.faults import (
    Fault,
    Target,
    change_settings,
    fail_links,
    fail_store,
    kill,
    pause,
    terminate,
)

HEARTBEAT_INTERVALS_S = (0.3, 0.87, 1.5)
MIN_DOWN_S = 0.05
MAX_DOWN_S = 2.0
# Faults in a series use shorter ends, so that the lives follow one another closely.
MAX_SERIES_DOWN_S = 0.4
MAX_SERIES_CRASHES = 4
# The longest time by which a heartbeat of the former life follows its crash.
MAX_LATE_S = 3.0
MAX_GRANT_DELAY_S = 6.0
# A grant of a killed process is carried out this long after its arrival. Its hold of
# at most 5 s has not ended by then.
KEPT_GRANT_S = (1.5, 4.5)
# Nodes renew the grants of a range every two seconds.
RENEWAL_TIMEOUT_S = 2.5
POLL_INTERVAL_S = 0.02
# A node that is paused answers a queued heartbeat only after the pause.
QUEUED_HEARTBEAT_TIMEOUT_S = 15.0


@dataclass(slots=True)
class Replacement:
    """A crash of the worker of ``node`` and the start of its next life.

    ``late_s`` is the time from the crash to the arrival of a heartbeat of the former
    life, or None if there is none.
    """

    node: int
    down_s: float
    keeps_id: bool
    first_heartbeat_s: float
    late_s: float | None = None


def plan_replacement(
    target: Target, max_down_s: float = MAX_DOWN_S
) -> Replacement | None:
    """Draw a replacement of a worker with keys whose node is not being restarted."""
    fleet = target.fleet
    nodes = [
        node
        for node in sorted(fleet.workers)
        if fleet.service(node) == "keyed" and node not in target.restarting
    ]
    if not nodes:
        return None
    rng = target.random
    return Replacement(
        rng.choice(nodes),
        rng.uniform(MIN_DOWN_S, max_down_s),
        rng.random() < 0.5,
        rng.uniform(0.0, fleet.heartbeat_interval_s),
    )


async def replace_worker(fleet: Fleet, plan: Replacement) -> None:
    """Let a worker crash and start its next life, unless it is already down."""
    if plan.node not in fleet.workers:
        return
    former = await fleet.crash_worker(plan.node)
    late = None
    if plan.late_s is not None:
        late = asyncio.ensure_future(send_late_heartbeat(former, plan.late_s))
    await asyncio.sleep(plan.down_s)
    worker_id = former.id if plan.keeps_id else ""
    await fleet.start_worker(plan.node, worker_id, plan.first_heartbeat_s)
    if late is not None:
        await late


async def send_late_heartbeat(former: WorkerStandin, delay_s: float) -> None:
    """Deliver a heartbeat that a worker sent just before it crashed."""
    url, body = former.next_heartbeat()
    await asyncio.sleep(delay_s)
    timeout = aiohttp.ClientTimeout(total=QUEUED_HEARTBEAT_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        with suppress(aiohttp.ClientError, TimeoutError):
            former.record.note(f"late heartbeat of {former.life}")
            async with session.post(url, json=body) as answer:
                await answer.read()


async def crash(target: Target, duration_s: float) -> None:
    """Replace a worker once."""
    plan = plan_replacement(target)
    if plan is not None:
        await replace_worker(target.fleet, plan)


async def crash_in_series(target: Target, duration_s: float) -> None:
    """Replace a worker several times, each life within a short time of the last."""
    plan = plan_replacement(target, MAX_SERIES_DOWN_S)
    if plan is None:
        return
    crashes = target.random.randint(2, MAX_SERIES_CRASHES)
    pauses_s = [target.random.uniform(0.1, 1.0) for _ in range(crashes)]
    for pause_s in pauses_s:
        await replace_worker(target.fleet, plan)
        await asyncio.sleep(pause_s)


async def crash_with_late_heartbeat(target: Target, duration_s: float) -> None:
    """Replace a worker, a heartbeat of whose former life arrives after the crash."""
    plan = plan_replacement(target)
    if plan is None:
        return
    before_listening_s = target.random.uniform(0.0, plan.down_s)
    after_listening_s = target.random.uniform(plan.down_s, MAX_LATE_S)
    plan.late_s = target.random.choice([before_listening_s, after_listening_s])
    await replace_worker(target.fleet, plan)


async def crash_behind_silent_connections(target: Target, duration_s: float) -> None:
    """Replace a worker whose open connections stay open and carry nothing more."""
    plan = plan_replacement(target)
    if plan is None:
        return
    target.fleet.record.note(f"node {plan.node}: connections to its worker are silent")
    target.worker_proxies[plan.node].outlive_target()
    await replace_worker(target.fleet, plan)


async def crash_beside_paused_node(target: Target, duration_s: float) -> None:
    """Replace a worker while its node is suspended and its heartbeats are queued."""
    plan = plan_replacement(target)
    if plan is None:
        return
    plan.late_s = target.random.uniform(0.0, plan.down_s)
    before_s = target.random.uniform(0.0, 0.5)
    async with _paused(target, plan.node):
        await asyncio.sleep(before_s)
        replacing = asyncio.ensure_future(replace_worker(target.fleet, plan))
        await asyncio.sleep(max(0.0, duration_s - before_s))
    await replacing


@asynccontextmanager
async def _paused(target: Target, node: int) -> AsyncIterator[None]:
    process = target.fleet.processes[node]
    loop = asyncio.get_running_loop()
    target.restarting.add(node)
    began = loop.time()
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        target.restarting.discard(node)
        target.disruptions.append((node, began, loop.time()))


async def crash_beside_killed_node(target: Target, duration_s: float) -> None:
    """Kill a node and start it again while its worker is replaced."""
    plan = plan_replacement(target)
    if plan is None:
        return
    if target.random.random() < 0.5:
        plan.late_s = target.random.uniform(0.0, MAX_LATE_S)
    crash_after_s = target.random.uniform(0.0, 0.5)
    down_s = target.random.uniform(0.0, 1.0)
    fleet, node = target.fleet, plan.node
    loop = asyncio.get_running_loop()
    target.restarting.add(node)
    began = loop.time()
    await fleet.kill(node)
    await asyncio.sleep(crash_after_s)
    replacing = asyncio.ensure_future(replace_worker(fleet, plan))
    await asyncio.sleep(down_s)
    await fleet.start(node)
    target.disruptions.append((node, began, loop.time()))
    target.restarting.discard(node)
    await replacing


async def kill_with_unanswered_grant(target: Target, duration_s: float) -> None:
    """Kill a node whose grant is carried out after the next process moved the keys."""
    plan = plan_replacement(target)
    if plan is None:
        return
    rng, fleet, node = target.random, target.fleet, plan.node
    delay_s = rng.uniform(*KEPT_GRANT_S)
    drain_after_s = rng.uniform(1.0, 2.5)
    worker = fleet.workers[node]
    await _keep_grant_back(worker, delay_s)
    if node in target.restarting:
        return
    loop = asyncio.get_running_loop()
    target.restarting.add(node)
    began = loop.time()
    await fleet.kill(node)
    await fleet.start(node)
    target.disruptions.append((node, began, loop.time()))
    target.restarting.discard(node)
    await asyncio.sleep(drain_after_s)
    worker.state = "draining"
    await asyncio.sleep(max(duration_s, KEPT_GRANT_S[1] - drain_after_s))
    if fleet.workers.get(node) is worker:
        await replace_worker(fleet, plan)


async def _keep_grant_back(worker: WorkerStandin, delay_s: float) -> None:
    """Wait until a worker has received a grant, which it carries out late."""
    count = len(worker.late_grants)
    worker.grant_fault, worker.grant_delay_s = GrantFault.CARRIED_OUT_LATE, delay_s
    with suppress(TimeoutError):
        async with asyncio.timeout(RENEWAL_TIMEOUT_S):
            while len(worker.late_grants) == count:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
    worker.grant_fault = GrantFault.NONE


async def refuse_connections(target: Target, duration_s: float) -> None:
    """Close a worker's port; the worker lives and its open connections go on."""
    plan = plan_replacement(target)
    if plan is None:
        return
    proxy = target.worker_proxies[plan.node]
    target.fleet.record.note(f"node {plan.node}: the port of its worker is closed")
    proxy.refuse()
    await asyncio.sleep(duration_s)
    if plan.node in target.fleet.workers:
        await proxy.listen()


async def delay_grants(target: Target, duration_s: float) -> None:
    """Let workers answer grants late, never, or carry them out late."""
    rng = target.random
    fault = rng.choice([kind for kind in GrantFault if kind is not GrantFault.NONE])
    delay_s = rng.uniform(0.5, MAX_GRANT_DELAY_S)
    workers = list(target.fleet.workers.values())
    for worker in workers:
        worker.grant_fault, worker.grant_delay_s = fault, delay_s
    await asyncio.sleep(duration_s)
    for worker in workers:
        worker.grant_fault = GrantFault.NONE


LIFE_FAULTS: tuple[Fault, ...] = (
    crash,
    crash,
    crash_in_series,
    crash_with_late_heartbeat,
    crash_with_late_heartbeat,
    crash_behind_silent_connections,
    crash_behind_silent_connections,
    crash_beside_paused_node,
    crash_beside_paused_node,
    crash_beside_killed_node,
    crash_beside_killed_node,
    kill_with_unanswered_grant,
    refuse_connections,
    delay_grants,
    kill,
    terminate,
    pause,
    fail_store,
    fail_links,
    change_settings,
)
