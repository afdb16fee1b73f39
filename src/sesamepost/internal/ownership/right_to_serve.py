"""The one check that precedes every dispatch."""

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

    Call it at the moment of dispatch, after the last await, because each of the four
    conditions can end while a request waits. ``lease_expiry`` and ``now`` are on
    ``CLOCK_BOOTTIME``; the expiry is infinite for a node that has no witnesses. Every
    failure is ``NOT_OWNER``: the router holds the request and tries again, and nothing
    has run.
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

    A fenced endpoint has a grant that ends with the lease, so only an unfenced one
    needs the expiry in the request.
    """
    return deadline if fenced else min(deadline, lease_expiry)
