"""The check that precedes every dispatch."""

from expression import Error, Ok, Result

from sesamepost.errors import ErrorKind
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment, Placement
from sesamepost.internal.ownership.items import item_of
from sesamepost.internal.ownership.releases import ReleaseTable


def right_to_serve(
    assignment: Assignment | None,
    key_hash: int,
    node: NodeId,
    releases: ReleaseTable,
    lease_expiry: float,
    now: float,
    endpoint_in_service: bool = True,
) -> Result[Placement, ErrorKind]:
    """Return the placement of a key if this daemon may dispatch a request for it now.

    Four conditions must hold: the lease is valid, the endpoint is in service, this node
    owns the key, and the key is not released. Call this function after the last await
    before the dispatch, because each condition can cease to hold while a request waits.
    ``lease_expiry`` and ``now`` are on ``CLOCK_BOOTTIME``; the expiry is infinite for a
    node without witnesses. Every failure is ``NOT_OWNER``: nothing has been executed,
    and the router keeps the request and retries it.
    """
    if assignment is None or now >= lease_expiry or not endpoint_in_service:
        return Error(ErrorKind.NOT_OWNER)
    placement = assignment.find(key_hash)
    if placement.owner != node:
        return Error(ErrorKind.NOT_OWNER)
    if releases.is_released(item_of(assignment, key_hash), key_hash, placement.epoch):
        return Error(ErrorKind.NOT_OWNER)
    return Ok(placement)


def dispatch_deadline(deadline: float, lease_expiry: float, fenced: bool) -> float:
    """Return the time after which the endpoint must not work on the request.

    A fenced endpoint has a grant that expires with the lease, so the deadline has to
    include the expiry only for an unfenced endpoint.
    """
    return deadline if fenced else min(deadline, lease_expiry)
