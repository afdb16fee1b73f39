"""What may end a hold of the local endpoint, and on which proof.

A range goes to another owner only once the endpoint certainly holds it no longer.
``HoldEnd`` lists all proofs of that, for grants by call and with heartbeats alike, and
``free_from`` says from when each of them counts. ``releasing`` obtains the proofs,
``holds`` keeps the deadlines on which they rest, and ``moving`` writes the next owner
after ``HoldEnds.wait_until_free``.

A heartbeat of another incarnation ends no hold, since it may come from another writer.
Endpoints of lost nodes are judged by other nodes, in ``takeover``.
"""

import asyncio
from dataclasses import dataclass

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.table import LAST_KEY

CHECK_INTERVAL_S = 0.25

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ReleaseAnswered:
    """The endpoint answered release commands for all the keys.

    It may execute an unanswered grant after that and then hold keys until
    ``unanswered_until``. Grants of the previous process count as unanswered, unless the
    endpoint has accepted a fence of this process and so refuses them. ``token`` is
    empty if no single token covers the keys.
    """

    token: str
    unanswered_until: float


@dataclass(frozen=True, slots=True)
class ReportedFree:
    """A heartbeat reported none of the keys after an answer had left them out.

    Either it follows that answer, or it has the ``token`` of the release, which is
    empty otherwise.
    """

    token: str


@dataclass(frozen=True, slots=True)
class HoldExpired:
    """The endpoint may hold the keys until ``possible_until``, and not longer.

    That is the end of their longest grant or order, even on a slow clock. It is earlier
    if a complete report of the endpoint lacked the keys (``HoldTracker.note_report``).
    """

    possible_until: float


@dataclass(frozen=True, slots=True)
class ProcessEnded:
    """The process of the endpoint has ended, as ``forwarding/endpoint_watch`` found."""


HoldEnd = ReleaseAnswered | ReportedFree | HoldExpired | ProcessEnded


def free_from(end: HoldEnd) -> float:
    """Return the time from which the keys may go to another owner.

    >>> free_from(HoldExpired(possible_until=7.5))
    7.5
    """
    match end:
        case ReleaseAnswered(unanswered_until=until):
            return until
        case ReportedFree() | ProcessEnded():
            return 0.0
        case HoldExpired(possible_until=until):
            return until


def handover_token(end: HoldEnd) -> str:
    """Return the token for the next owner, or "" if the endpoint returned none."""
    match end:
        case ReleaseAnswered(token=token) | ReportedFree(token=token):
            return token
        case HoldExpired() | ProcessEnded():
            return ""


class HoldEnds:
    """Decides when keys of the local endpoint may go to another owner.

    ``has_process_ended`` says that the process of the present endpoint has ended.
    """

    def __init__(self) -> None:
        self.has_process_ended = False

    async def wait_until_free(
        self, holds: HoldTracker, first: int, last: int, end: HoldEnd, since: float
    ) -> str:
        """Wait until the keys may go to another owner; return the handover token.

        ``since`` is when the release began, for the log.
        """
        await self._sleep_until(free_from(end))
        self.log_released(holds, first, last, end, since)
        return handover_token(end)

    def assumed_until(self, holds: HoldTracker) -> float:
        """Return until when the next incarnation must be assumed to hold any key.

        The two may be the same process, so the holds of the former one count for it.
        """
        if self.has_process_ended:
            return 0.0
        return holds.possible_until(0, LAST_KEY)

    def log_void(self, holds: HoldTracker, incarnation: tuple[str, int] | None) -> None:
        """Log once that the process has ended, and all its holds with it."""
        if not self.has_process_ended:
            _log_incarnation("holds_void", holds, incarnation, "endpoint_gone")

    def log_replaced(
        self,
        holds: HoldTracker,
        incarnation: tuple[str, int],
        successor: EndpointInfo,
    ) -> None:
        """Log that another incarnation sends heartbeats, which ends no hold."""
        proof = "endpoint_gone" if self.has_process_ended else None
        _log_incarnation("incarnation_replaced", holds, incarnation, proof, successor)

    def log_released(
        self, holds: HoldTracker, first: int, last: int, end: HoldEnd, since: float
    ) -> None:
        """Log on which proof the endpoint holds none of these keys.

        The proof is None if a hold is longer than was known when the release began.
        """
        possible_s = _possible_s(holds, first, last)
        log.info(
            "released",
            first=first,
            last=last,
            proof=_proof_name(self._present_end(end), possible_s),
            waited_s=round(boottime() - since, 3),
            possible_s=possible_s,
        )

    def _present_end(self, end: HoldEnd) -> HoldEnd:
        """Return ``end``, or what has ended the hold before it expired."""
        match end:
            case HoldExpired() if self.has_process_ended:
                return ProcessEnded()
            case _:
                return end

    async def _sleep_until(self, time: float) -> None:
        while not self.has_process_ended:
            remaining_s = time - boottime()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(remaining_s, CHECK_INTERVAL_S))


def _proof_name(end: HoldEnd, possible_s: float) -> str | None:
    match end:
        case ReleaseAnswered():
            return "token"
        case ReportedFree(token=token):
            return "token" if token else "report"
        case HoldExpired():
            return "hold_ended" if possible_s == 0 else None
        case ProcessEnded():
            return "endpoint_gone"


def _log_incarnation(
    event: str,
    holds: HoldTracker,
    incarnation: tuple[str, int] | None,
    proof: str | None,
    successor: EndpointInfo | None = None,
) -> None:
    """Log for how long an incarnation may hold keys if ``proof`` is wrong."""
    endpoint_id, born = incarnation or (None, None)
    log.info(
        event,
        proof=proof,
        endpoint=endpoint_id,
        born=born,
        successor=successor and successor.id,
        successor_born=successor and successor.born,
        possible_s=_possible_s(holds, 0, LAST_KEY),
    )


def _possible_s(holds: HoldTracker, first: int, last: int) -> float:
    """Return for how long the endpoint may hold the keys without a proof."""
    return round(max(0.0, holds.possible_until(first, last) - boottime()), 2)
