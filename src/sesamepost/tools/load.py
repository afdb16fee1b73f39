"""Send load to a running fleet, check every response and print latencies and costs."""

import asyncio
import multiprocessing
import os
import random
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import defopt
import uvloop

REQUEST_ID_HEADER = "X-Request-Id"
MAX_PROCESSES = 4
START_DELAY_S = 1.5
MIB = 1 << 20
HISTOGRAM_BOUNDS_MS = (
    0.5,
    1,
    2,
    4,
    6,
    8,
    11,
    15,
    20,
    30,
    50,
    100,
    250,
    500,
    1000,
    5000,
)


@dataclass(slots=True)
class LoadPlan:
    """Requests to send.

    ``rate`` is in requests/s over all processes; 0 sends the next request as soon as
    one is answered. ``start_at`` is on the wall clock, which all processes share.
    """

    callers: list[str]
    service: str
    seconds: float
    concurrency: int
    rate: float
    keys: list[str]
    body: bytes
    repeatable: bool
    seed: int
    processes: int = 1
    start_at: float = 0.0


@dataclass(slots=True)
class LoadResult:
    """Results of the requests of a plan.

    ``latencies`` are in seconds. ``mismatches`` counts responses that do not match
    their request.
    """

    latencies: list[float] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    mismatches: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)

    def add(self, other: "LoadResult") -> None:
        """Add the results of another process."""
        self.latencies += other.latencies
        self.statuses += other.statuses
        self.mismatches += other.mismatches
        self.outcomes += other.outcomes

    def percentile(self, percent: float) -> float:
        """Return the latency at ``percent`` in milliseconds."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
        return ordered[index] * 1000


async def drive(plan: LoadPlan) -> LoadResult:
    """Run ``plan`` in its number of processes and return their combined results."""
    if plan.processes == 1:
        return await _drive_in_process(plan)
    start_at = time.time() + START_DELAY_S
    process_plans = [
        replace(
            plan,
            concurrency=max(1, plan.concurrency // plan.processes),
            rate=plan.rate / plan.processes,
            seed=plan.seed * MAX_PROCESSES + number,
            processes=1,
            start_at=start_at,
        )
        for number in range(plan.processes)
    ]
    total = LoadResult()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(plan.processes, mp_context=context) as executor:
        loop = asyncio.get_running_loop()
        runs = [
            loop.run_in_executor(executor, _run_in_subprocess, process_plan)
            for process_plan in process_plans
        ]
        for result in await asyncio.gather(*runs):
            total.add(result)
    return total


def _run_in_subprocess(plan: LoadPlan) -> LoadResult:
    return uvloop.run(_drive_in_process(plan))


async def _drive_in_process(plan: LoadPlan) -> LoadResult:
    result = LoadResult()
    numbers = iter(range(sys.maxsize))
    await asyncio.sleep(max(0.0, plan.start_at - time.time()))
    started = time.perf_counter()
    stop_at = started + plan.seconds

    async def work(session: aiohttp.ClientSession, worker: int) -> None:
        rng = random.Random(plan.seed * 1000 + worker)
        while True:
            number = next(numbers)
            request_start = time.perf_counter()
            if plan.rate:
                # Measure latency from the scheduled time: if no worker is free by then,
                # slow earlier responses are the cause of the delay.
                request_start = started + number / plan.rate
                await asyncio.sleep(max(0.0, request_start - time.perf_counter()))
            if max(request_start, time.perf_counter()) >= stop_at:
                return
            request_id = f"{plan.seed}-{number}"
            await _send_one(session, plan, rng, request_id, request_start, result)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    ) as session:
        await asyncio.gather(*(work(session, n) for n in range(plan.concurrency)))
    return result


async def _send_one(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    rng: random.Random,
    request_id: str,
    request_start: float,
    result: LoadResult,
) -> None:
    key = rng.choice(plan.keys)
    url = f"{rng.choice(plan.callers)}/load"
    headers = {
        "Sesamepost-Service": plan.service,
        "Sesamepost-Key": key,
        "Sesamepost-Repeatable": "yes" if plan.repeatable else "no",
        REQUEST_ID_HEADER: request_id,
    }
    try:
        async with session.post(url, data=plan.body, headers=headers) as response:
            content = await response.json(content_type=None) if response.ok else None
            status = response.headers.get("Sesamepost-Error", str(response.status))
            result.outcomes[response.headers.get("Sesamepost-Outcome", "none")] += 1
    except (aiohttp.ClientError, ValueError) as error:
        status, content = type(error).__name__, None
    result.latencies.append(time.perf_counter() - request_start)
    result.statuses[status] += 1
    if content is None:
        return
    matches = (
        content.get("key") == key
        and content.get("request_id") == request_id
        and content.get("body_length") == len(plan.body)
    )
    result.mismatches += not matches


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and memory of one process."""

    cpu_s: float
    rss_bytes: int


async def read_usage(session: aiohttp.ClientSession, operators: str) -> Usage:
    """Return the resource usage that a daemon reports about its process."""
    async with session.get(f"{operators}/status") as response:
        process = (await response.json())["process"]
    return Usage(process["cpu_s"], process["rss_bytes"])


async def count_duplicates(session: aiohttp.ClientSession, endpoints: list[str]) -> int:
    """Return the number of repeated runs of requests over all stand-in endpoints."""
    runs: Counter[str] = Counter()
    for endpoint in endpoints:
        async with session.get(f"{endpoint}/control") as response:
            for execution in (await response.json())["executions"]:
                runs[execution["request_id"]] += execution["count"]
    return sum(count - 1 for count in runs.values() if count > 1)


async def _run(plan: LoadPlan, operators: list[str], endpoints: list[str]) -> int:
    async with aiohttp.ClientSession() as session:
        before = [await read_usage(session, url) for url in operators]
        result = await drive(plan)
        after = [await read_usage(session, url) for url in operators]
        duplicates = await count_duplicates(session, endpoints)
    total = len(result.latencies)
    rate = total / plan.seconds
    print(f"requests: {total}, {rate:.0f}/s, seed {plan.seed}")
    for status, count in result.statuses.most_common():
        print(f"  {status}: {count}")
    print(f"answers that do not match their request: {result.mismatches}")
    print(f"runs of a request beyond the first: {duplicates}")
    print(
        f"latency ms: p50 {result.percentile(50):.2f}, "
        f"p99 {result.percentile(99):.2f}, p99.9 {result.percentile(99.9):.2f}"
    )
    _print_histogram(result.latencies)
    for url, old, new in zip(operators, before, after, strict=True):
        cpu_s = new.cpu_s - old.cpu_s
        print(
            f"{url}: {cpu_s:.2f} s CPU, {cpu_s / max(total, 1) * 1e6:.0f} us for each "
            f"request sent, {new.rss_bytes / MIB:.0f} MiB"
        )
    return 1 if result.mismatches or (duplicates and not plan.repeatable) else 0


def _print_histogram(latencies: list[float]) -> None:
    counts: Counter[float] = Counter()
    for latency in latencies:
        bound = next(
            (b for b in HISTOGRAM_BOUNDS_MS if latency * 1000 <= b), float("inf")
        )
        counts[bound] += 1
    for bound in sorted(counts):
        print(f"  <= {bound:>7} ms: {counts[bound]}")


def run(
    *,
    callers: list[str] | None = None,
    operators: list[str] | None = None,
    endpoints: list[str] | None = None,
    service: str = "lookup",
    seconds: float = 10.0,
    concurrency: int = 32,
    rate: float = 0.0,
    keys: int = 10_000,
    body_bytes: int = 256,
    repeatable: bool = False,
    processes: int = 1,
    seed: int = 1,
    compare: bool = False,
    rounds: int = 3,
    base_port: int = 21000,
) -> None:
    """Send requests to a running fleet and check every answer.

    :param callers: base URLs of the daemons' ports for callers
    :param operators: base URLs of ports for operators, to report CPU time and memory
    :param endpoints: base URLs of stand-in endpoints, to count runs beyond the first
    :param service: name of the service to call
    :param seconds: time for which requests are sent
    :param concurrency: maximum number of outstanding requests
    :param rate: total requests/s; 0 sends the next as soon as one is answered
    :param keys: number of different keys
    :param body_bytes: size of each request body in bytes
    :param repeatable: allow the router to repeat requests
    :param processes: number of processes that send, at most 4
    :param seed: seed of the choice of keys and daemons
    :param compare: start a separate fleet of 2 VMs and a bare forwarder, and print
        the cost of a request through each
    :param rounds: number of times that ``--compare`` measures each path
    :param base_port: first port of the fleet that ``--compare`` starts
    """
    if not 1 <= processes <= MAX_PROCESSES:
        sys.exit(f"--processes must be 1 to {MAX_PROCESSES}, not {processes}")
    if not callers and not compare:
        sys.exit("--callers is required without --compare, which starts its own fleet")
    plan = LoadPlan(
        callers or [],
        service,
        seconds,
        concurrency,
        rate,
        [f"key-{number}" for number in range(keys)],
        b"x" * body_bytes,
        repeatable,
        seed,
        processes,
    )
    if compare:
        # Imported late because only this option needs the module, which imports slowly.
        from sesamepost.tools.compare import compare_paths

        sys.exit(uvloop.run(compare_paths(plan, rounds, base_port)))
    sys.exit(uvloop.run(_run(plan, operators or [], endpoints or [])))


def main() -> None:
    """Entry point of ``sesamepost-load``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
