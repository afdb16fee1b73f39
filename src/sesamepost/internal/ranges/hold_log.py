"""Log lines that tell why an endpoint is taken to hold a range no longer."""

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.table import LAST_KEY

log = structlog.get_logger()


def log_end(
    holds: HoldTracker,
    former: tuple[str, int] | None,
    event: str,
    proof: str | None,
    successor: EndpointInfo | None = None,
) -> None:
    """Log how long an incarnation may hold keys if ``proof`` of its end is wrong."""
    endpoint_id, born = former or (None, None)
    log.info(
        event,
        proof=proof,
        endpoint=endpoint_id,
        born=born,
        successor=successor and successor.id,
        successor_born=successor and successor.born,
        possible_s=_possible_s(holds, 0, LAST_KEY),
    )


def release_proof(is_answered: bool, is_gone: bool) -> str | None:
    """Return the proof of a release, or None if it rests on the end of the hold.

    ``is_answered`` says that the endpoint answered each command with a token.
    """
    if is_answered:
        return "token"
    return "endpoint_gone" if is_gone else None


def log_release(
    holds: HoldTracker, first: int, last: int, proof: str | None, since: float
) -> None:
    """Log why the endpoint holds none of these keys, and the time since ``since``."""
    possible_s = _possible_s(holds, first, last)
    if proof is None and possible_s == 0:
        proof = "hold_ended"
    log.info(
        "released",
        first=first,
        last=last,
        proof=proof,
        waited_s=round(boottime() - since, 3),
        possible_s=possible_s,
    )


def _possible_s(holds: HoldTracker, first: int, last: int) -> float:
    """Return for how long the endpoint may hold the keys without a proof."""
    return round(max(0.0, holds.possible_until(first, last) - boottime()), 2)
