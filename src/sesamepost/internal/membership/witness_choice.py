"""The choice of the witnesses of a node."""

import hashlib
from collections.abc import Callable, Collection

from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord

WITNESS_COUNT = 3


def choose_witnesses(
    fleet: Fleet,
    node: NodeId,
    failure_domain: str,
    region: str,
    avoid: Collection[NodeId] = (),
    keep: Collection[NodeId] = (),
) -> tuple[NodeId, ...]:
    """Return the witnesses for a node, which need not be in the fleet yet.

    If possible, the first witness is on another VM in the node's failure domain, the
    second in another failure domain of its region and the third in another region.
    Nodes in ``avoid`` are chosen only if there are too few others. Nodes in ``keep``,
    usually the present witnesses that respond, are preferred, so that replacing one
    witness leaves the others in place.

    The choice is deterministic. Rendezvous hashing spreads the choices of all nodes, so
    that each node is a witness of about three others.
    """
    others = [r for r in fleet.active_records() if r.node.vm != node.vm]
    if not others:
        return ()
    preferred = [record for record in others if record.node not in avoid]
    avoided = [record for record in others if record.node in avoid]
    count = WITNESS_COUNT if len(others) >= WITNESS_COUNT else 1
    chosen: list[NodeRecord] = []
    for preferences in _location_preferences(failure_domain, region)[:count]:
        pool = preferred or avoided
        best = max(
            _best_located(pool, preferences, chosen),
            key=lambda record: (
                record.node in keep,
                _rendezvous_weight(node, record.node),
            ),
        )
        pool.remove(best)
        chosen.append(best)
    return tuple(record.node for record in chosen)


def _location_preferences(
    failure_domain: str, region: str
) -> list[tuple[Callable[[NodeRecord], bool], ...]]:
    """Return the preferred locations of each of the three witnesses, best first.

    If the node's region has only one failure domain, two witnesses are inside it, so
    that the node keeps its lease when the link to another region fails. If there is
    only one region, the third witness is in a third failure domain or, failing that, in
    the node's own, because the loss of one other failure domain must leave a majority.
    """

    def own_domain(record: NodeRecord) -> bool:
        return record.failure_domain == failure_domain

    def own_region(record: NodeRecord) -> bool:
        return record.region == region and not own_domain(record)

    def other_region(record: NodeRecord) -> bool:
        return record.region != region

    return [
        (own_domain, own_region, other_region),
        (own_region, own_domain, other_region),
        (other_region, own_region, own_domain),
    ]


def _best_located(
    pool: list[NodeRecord],
    preferences: tuple[Callable[[NodeRecord], bool], ...],
    chosen: list[NodeRecord],
) -> list[NodeRecord]:
    """Return the records in the best location with candidates.

    If possible, only records in failure domains without a chosen witness are returned.
    """
    used = {record.failure_domain for record in chosen}
    for matches in preferences:
        found = [record for record in pool if matches(record)]
        if found:
            return [r for r in found if r.failure_domain not in used] or found
    raise ValueError("every record must be in one of the three locations")


def _rendezvous_weight(node: NodeId, candidate: NodeId) -> bytes:
    text = f"{node.vm}\0{candidate.vm}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
