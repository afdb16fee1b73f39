"""Workers that log their holds, and the judge of the rule OWNER."""

import time
from dataclasses import dataclass

from aiohttp import web

from review.common.fleet import CaseRecord
from tests.platform.worker_standin import WorkerStandin

# Two workers must not hold the same key for longer than this.
MAX_SHARED_S = 0.5


@dataclass
class LoggedHold:
    """A hold of one worker, which a release or another grant may end earlier."""

    worker: str
    first: int
    last: int
    fence: int
    begin: float
    end: float


class HoldLog:
    """All holds of a case, in the order of their grants."""

    def __init__(self) -> None:
        self.holds: list[LoggedHold] = []
        self.record: CaseRecord | None = None
        # The worker, the first and the last key of each release.
        self.releases: list[tuple[str, int, int]] = []

    def note(self, text: str) -> None:
        """Write one line to the record of the case."""
        if self.record is not None:
            self.record.note(text)

    def grant(self, worker: str, first: int, last: int, fence: int, s: float) -> None:
        """Record an accepted grant."""
        now = time.monotonic()
        for hold in self.holds:
            if (hold.worker, hold.first, hold.last) == (worker, first, last):
                hold.end = min(hold.end, now)
        self.holds.append(LoggedHold(worker, first, last, fence, now, now + s))
        self.note(f"{worker} is granted {first}-{last}, fence {fence}, for {s:.2f} s")

    def release(self, worker: str, first: int, last: int) -> None:
        """Record that a worker holds these keys no longer."""
        now = time.monotonic()
        self.releases.append((worker, first, last))
        for hold in list(self.holds):
            overlaps = hold.first <= last and first <= hold.last
            if hold.worker != worker or hold.end <= now or not overlaps:
                continue
            for begin, end in ((hold.first, first - 1), (last + 1, hold.last)):
                if begin <= end:
                    part = LoggedHold(worker, begin, end, hold.fence, now, hold.end)
                    self.holds.append(part)
            hold.end = now
        self.note(f"{worker} has released {first}-{last}")

    def end_worker(self, worker: str) -> None:
        """Record that a worker is no longer up."""
        self.release(worker, 0, 65535)

    def violations(self) -> list[str]:
        """Return the breaches of the rule OWNER."""
        found = []
        for i, old in enumerate(self.holds):
            for new in self.holds[i + 1 :]:
                first, last = max(old.first, new.first), min(old.last, new.last)
                if old.worker == new.worker or first > last:
                    continue
                shared_s = min(old.end, new.end) - max(old.begin, new.begin)
                if shared_s > MAX_SHARED_S:
                    found.append(
                        f"{old.worker} (fence {old.fence}) and {new.worker} (fence "
                        f"{new.fence}) both hold {first}-{last} for {shared_s:.2f} s"
                    )
                if new.begin > old.begin and new.fence <= old.fence:
                    found.append(
                        f"{new.worker} takes {first}-{last} with fence {new.fence}; "
                        f"{old.worker} had it with fence {old.fence}"
                    )
        return found

    def judge(self) -> bool:
        """Record the breaches and return whether the rule was kept."""
        violations = self.violations()
        for violation in violations:
            self.note(f"OWNER: {violation}")
        print(f"{len(violations)} breaches of OWNER")
        for violation in violations[:3]:
            print(violation)
        return not violations


class HoldingWorker(WorkerStandin):
    """A worker of the project's stand-ins that logs its holds and requests."""

    log = HoldLog()

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        response = await super()._grant(request)
        if response.status == 200:
            self.log.grant(
                self.id, body["from"], body["target"], body["fence"], body["holdS"]
            )
        return response

    async def _release(self, request: web.Request) -> web.Response:
        body = await request.json()
        response = await super()._release(request)
        self.log.release(self.id, body["from"], body["target"])
        return response

    async def _request(self, request: web.Request) -> web.Response:
        response = await super()._request(request)
        if response.status == 200:
            key = request.headers.get("Shard-Key", "none")
            request_id = request.headers["Request-Id"]
            self.log.note(f"{self.id} runs {request_id}, key {key}")
        return response
