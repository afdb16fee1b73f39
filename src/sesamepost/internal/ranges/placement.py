"""Which endpoints may get requests and own keys, by failure domain and region."""

from collections.abc import Collection, Iterable, Mapping, Sequence

from sesamepost.internal.coordination.evacuations import Evacuations
from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.ranges.table import KeyRange, Owner


class Placement:
    """Excludes endpoints in evacuated domains and outside of allowed regions.

    ``regions`` are the regions in which the keys of a service may be owned. A service
    that is not in it may have owners everywhere.
    """

    def __init__(self, evacuations: Evacuations | None = None) -> None:
        self.evacuations = evacuations
        self.regions: Mapping[str, frozenset[str]] = {}

    def is_evacuated(self, node: NodeEntry) -> bool:
        """Return whether a node is in an evacuated domain."""
        return self.evacuations is not None and self.evacuations.is_evacuated(
            node.failure_domain
        )

    def is_closed(self, node: NodeEntry) -> bool:
        """Return whether a node's endpoint serves not even its keys any more."""
        return self.evacuations is not None and self.evacuations.is_closed(
            node.failure_domain
        )

    def may_run(self, node: NodeEntry, regions: Collection[str]) -> bool:
        """Return whether a node's endpoint may get a request bound to ``regions``."""
        return not self.is_evacuated(node) and (not regions or node.region in regions)

    def is_eligible(self, service: str, node: NodeEntry) -> bool:
        """Return whether a node's endpoint may own keys of a service."""
        return not self.is_evacuated(node) and self._is_inside(service, node)

    def eligible(self, service: str, nodes: Iterable[NodeEntry]) -> list[NodeEntry]:
        """Return the nodes whose endpoints may own keys of a service."""
        return [node for node in nodes if self.is_eligible(service, node)]

    def best(self, service: str, nodes: Sequence[NodeEntry]) -> list[NodeEntry]:
        """Return the eligible nodes; if there are none, those with the least against.

        Keys without any owner are not protected by a lease.
        """
        inside = [node for node in nodes if self._is_inside(service, node)]
        return self.eligible(service, nodes) or inside or list(nodes)

    def is_returning(self, node: NodeEntry, nodes: Iterable[NodeEntry]) -> bool:
        """Return whether a node's domain was taken back too recently to give it keys.

        ``nodes`` are all nodes of its service.
        """
        domain = node.failure_domain
        if self.evacuations is None or domain not in self.evacuations.taken_back_at:
            return False
        rank = sum(n.failure_domain == domain and n.vm < node.vm for n in nodes)
        return self.evacuations.is_returning(domain, rank)

    def _is_inside(self, service: str, node: NodeEntry) -> bool:
        regions = self.regions.get(service)
        return not regions or node.region in regions


def owner_on(node: NodeEntry) -> Owner:
    """Return the endpoint of a node as an owner in the table."""
    return Owner(node.vm, node.endpoint.id, node.endpoint.born)


def due_handovers(
    owned: Sequence[KeyRange], moving: Collection[tuple[int, int]], is_closed: bool
) -> list[KeyRange]:
    """Return the ranges whose handover an owner that is not eligible starts now.

    At most half of its ranges are moved at a time, since a range is not served while it
    moves; all of them once none is served any more.
    """
    waiting = [
        r
        for r in owned
        if not any(r.first <= last and first <= r.last for first, last in moving)
    ]
    if is_closed:
        return waiting
    max_moving = (len(owned) + 1) // 2
    return waiting[: max(0, max_moving - (len(owned) - len(waiting)))]
