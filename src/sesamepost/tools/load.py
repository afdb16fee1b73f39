"""Drives a running fleet, checks every answer and prints latencies and costs."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import defopt
import uvloop

REQUEST_ID_HEADER = "X-Request-Id"
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
class Plan:
    """What to send. ``rate`` is in requests/s over all workers; 0 sends at once."""

    callers: list[str]
    service: str
    seconds: float
    concurrency: int
    rate: float
    keys: int
    body: bytes
    repeatable: bool
    seed: int


@dataclass(slots=True)
class Outcome:
    """What came back; ``latencies`` are in seconds."""

    latencies: list[float] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    wrong: int = 0
    sent: Counter[str] = field(default_factory=Counter)

    def percentile(self, percent: float) -> float:
        """Return a latency in milliseconds."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
        return ordered[index] * 1000


async def drive(plan: Plan) -> Outcome:
    """Send requests until the time is over and return what came back."""
    outcome = Outcome()
    numbers = iter(range(sys.maxsize))
    started = time.perf_counter()
    stop_at = started + plan.seconds

    async def work(session: aiohttp.ClientSession, worker: int) -> None:
        choose = random.Random(plan.seed * 1000 + worker)
        while True:
            number = next(numbers)
            if plan.rate:
                due = started + number / plan.rate
                await asyncio.sleep(max(0.0, due - time.perf_counter()))
            if time.perf_counter() >= stop_at:
                return
            await _send_one(session, plan, choose, f"{plan.seed}-{number}", outcome)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    ) as session:
        await asyncio.gather(*(work(session, n) for n in range(plan.concurrency)))
    return outcome


async def _send_one(
    session: aiohttp.ClientSession,
    plan: Plan,
    choose: random.Random,
    request_id: str,
    outcome: Outcome,
) -> None:
    key = f"key-{choose.randrange(plan.keys)}"
    url = f"{choose.choice(plan.callers)}/load"
    headers = {
        "Sesamepost-Service": plan.service,
        "Sesamepost-Key": key,
        "Sesamepost-Repeatable": "yes" if plan.repeatable else "no",
        REQUEST_ID_HEADER: request_id,
    }
    began = time.perf_counter()
    try:
        async with session.post(url, data=plan.body, headers=headers) as answer:
            content = await answer.json(content_type=None) if answer.ok else None
            status = answer.headers.get("Sesamepost-Error", str(answer.status))
            outcome.sent[answer.headers.get("Sesamepost-Outcome", "none")] += 1
    except (aiohttp.ClientError, ValueError) as error:
        status, content = type(error).__name__, None
    outcome.latencies.append(time.perf_counter() - began)
    outcome.statuses[status] += 1
    if content is None:
        return
    right = (
        content.get("key") == key
        and content.get("request_id") == request_id
        and content.get("body_length") == len(plan.body)
    )
    outcome.wrong += not right


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and memory of one process."""

    cpu_s: float
    rss_bytes: int


async def read_usage(session: aiohttp.ClientSession, operators: str) -> Usage:
    """Return what a daemon reports about its own process."""
    async with session.get(f"{operators}/status") as answer:
        process = (await answer.json())["process"]
    return Usage(process["cpu_s"], process["rss_bytes"])


async def count_duplicates(session: aiohttp.ClientSession, endpoints: list[str]) -> int:
    """Return how many requests ran more than once, over all stand-in endpoints."""
    runs: Counter[str] = Counter()
    for endpoint in endpoints:
        async with session.get(f"{endpoint}/control") as answer:
            for execution in (await answer.json())["executions"]:
                runs[execution["request_id"]] += execution["count"]
    return sum(count - 1 for count in runs.values() if count > 1)


async def _run(plan: Plan, operators: list[str], endpoints: list[str]) -> int:
    async with aiohttp.ClientSession() as session:
        before = [await read_usage(session, url) for url in operators]
        outcome = await drive(plan)
        after = [await read_usage(session, url) for url in operators]
        duplicates = await count_duplicates(session, endpoints)
    total = len(outcome.latencies)
    print(f"requests: {total}, {total / plan.seconds:.0f}/s, seed {plan.seed}")
    for status, count in outcome.statuses.most_common():
        print(f"  {status}: {count}")
    print(f"answers that do not match their request: {outcome.wrong}")
    print(f"runs of a request beyond the first: {duplicates}")
    print(
        f"latency ms: p50 {outcome.percentile(50):.2f}, "
        f"p99 {outcome.percentile(99):.2f}, p99.9 {outcome.percentile(99.9):.2f}"
    )
    _print_histogram(outcome.latencies)
    for url, old, new in zip(operators, before, after, strict=True):
        cpu_s = new.cpu_s - old.cpu_s
        print(
            f"{url}: {cpu_s:.2f} s CPU, {cpu_s / max(total, 1) * 1e6:.0f} us for each "
            f"request sent, {new.rss_bytes / MIB:.0f} MiB"
        )
    return 1 if outcome.wrong or (duplicates and not plan.repeatable) else 0


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
    callers: list[str],
    operators: list[str] | None = None,
    endpoints: list[str] | None = None,
    service: str = "lookup",
    seconds: float = 10.0,
    concurrency: int = 32,
    rate: float = 0.0,
    keys: int = 10_000,
    body_bytes: int = 256,
    repeatable: bool = False,
    seed: int = 1,
) -> None:
    """Send requests to a running fleet and check every answer.

    :param callers: base URLs of the daemons' callers' ports
    :param operators: base URLs of operators' ports, to report CPU time and memory
    :param endpoints: base URLs of stand-in endpoints, to count runs beyond the first
    :param service: the service to call
    :param seconds: how long to send
    :param concurrency: how many requests are outstanding at most
    :param rate: requests/s over all; 0 sends the next as soon as one is answered
    :param keys: number of different keys
    :param body_bytes: size of each request body in bytes
    :param repeatable: allow the router to repeat requests
    :param seed: seed of the choice of keys and daemons
    """
    plan = Plan(
        callers,
        service,
        seconds,
        concurrency,
        rate,
        keys,
        b"x" * body_bytes,
        repeatable,
        seed,
    )
    sys.exit(uvloop.run(_run(plan, operators or [], endpoints or [])))


def main() -> None:
    """Entry point of ``sesamepost-load``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
