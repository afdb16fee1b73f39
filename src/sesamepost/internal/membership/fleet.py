"""The fleet document, which records the nodes, their witnesses and their states."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

import msgpack

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.pool import Address

# A fenced process that resumes within this time still finds itself recorded as fenced.
TOMBSTONE_RETENTION_S = 3600
FENCED_AT_BYTES = 5


class NodeState(IntEnum):
    """The recorded state of a node; the values are part of the document format."""

    ACTIVE = 0
    LEAVING = 1
    FENCED = 2


class NodeFencedError(Exception):
    """A fenced incarnation asked to join."""

    def __init__(self, node: NodeId) -> None:
        super().__init__(f"{node} is fenced and must restart to join again")
        self.node = node


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """One node of the fleet.

    ``witness_sequence`` is the sequence number of the lease holder's proposal that set
    ``witnesses``. ``fenced_at`` is in Unix seconds and 0 unless the node is fenced.
    ``resigned`` is true if the node was fenced at its own request at the end of a
    planned stop.
    """

    node: NodeId
    address: Address
    failure_domain: str
    region: str
    witnesses: tuple[NodeId, ...] = ()
    witness_sequence: int = 0
    state: NodeState = NodeState.ACTIVE
    fenced_at: int = 0
    resigned: bool = False

    def __post_init__(self) -> None:
        if len(set(self.witnesses)) != len(self.witnesses):
            raise ValueError(f"{self.node} has duplicate witnesses: {self.witnesses}")
        if self.node in self.witnesses:
            raise ValueError(f"{self.node} cannot be its own witness")


class Fleet:
    """One version of the fleet document.

    Operations return a modified copy with the same version, which is the version that
    the compare-and-swap expects. Records are kept in the order of joining, so that a
    change affects few blocks of the encoded document.
    """

    __slots__ = ("records", "version")

    def __init__(self, version: int = 0, records: Iterable[NodeRecord] = ()) -> None:
        self.version = version
        self.records = {record.node: record for record in records}

    def __iter__(self) -> Iterator[NodeRecord]:
        return iter(self.records.values())

    def __len__(self) -> int:
        return len(self.records)

    def get(self, node: NodeId) -> NodeRecord | None:
        """Return the record of this incarnation, or None."""
        return self.records.get(node)

    def live(self, node: NodeId) -> NodeRecord | None:
        """Return the record of this incarnation, or None if it is fenced or absent."""
        record = self.records.get(node)
        if record is None or record.state is NodeState.FENCED:
            return None
        return record

    def live_records(self) -> list[NodeRecord]:
        """Return the records of all nodes that are not fenced."""
        return [record for record in self if record.state is not NodeState.FENCED]

    def active_records(self) -> list[NodeRecord]:
        """Return the latest active record of each VM."""
        latest = {
            record.node.vm: record
            for record in self
            if record.state is NodeState.ACTIVE
        }
        return list(latest.values())

    def join(self, record: NodeRecord) -> "Fleet":
        """Add a node; a repeated join of the same incarnation changes nothing.

        Raises ``NodeFencedError`` if the incarnation is fenced.
        """
        existing = self.records.get(record.node)
        if existing is None:
            return self._with_record(record)
        if existing.state is NodeState.FENCED:
            raise NodeFencedError(record.node)
        return self

    def change_witnesses(
        self, node: NodeId, sequence: int, witnesses: tuple[NodeId, ...]
    ) -> "Fleet":
        """Record a holder's proposal unless a later one is already recorded.

        An earlier proposal must not be written late, because the holder no longer
        relies on the sets that it proposed before the recorded one.
        """
        record = self.live(node)
        if record is None or sequence <= record.witness_sequence:
            return self
        return self._with_record(
            replace(record, witnesses=witnesses, witness_sequence=sequence)
        )

    def mark_leaving(self, node: NodeId) -> "Fleet":
        """Record that a node has begun a planned stop."""
        record = self.live(node)
        if record is None or record.state is NodeState.LEAVING:
            return self
        return self._with_record(replace(record, state=NodeState.LEAVING))

    def fence(self, node: NodeId, fenced_at: int, resigned: bool = False) -> "Fleet":
        """Record a node as fenced at ``fenced_at`` in Unix seconds."""
        record = self.live(node)
        if record is None:
            return self
        return self._with_record(
            replace(
                record,
                state=NodeState.FENCED,
                fenced_at=int(fenced_at),
                resigned=resigned,
            )
        )

    def has_expired_tombstones(self, unix_now: float) -> bool:
        """Return whether ``drop_expired_tombstones`` may remove a node."""
        return any(
            record.state is NodeState.FENCED
            and unix_now - record.fenced_at >= TOMBSTONE_RETENTION_S
            for record in self
        )

    def drop_expired_tombstones(
        self, unix_now: float, owners: Collection[NodeId] = ()
    ) -> "Fleet":
        """Remove nodes that were fenced ``TOMBSTONE_RETENTION_S`` ago or earlier.

        The nodes in ``owners`` are kept: an assignment still names them, and only their
        record shows that they are fenced.
        """
        kept = [
            record
            for record in self
            if record.state is not NodeState.FENCED
            or unix_now - record.fenced_at < TOMBSTONE_RETENTION_S
            or record.node in owners
        ]
        return self if len(kept) == len(self) else Fleet(self.version, kept)

    def _with_record(self, record: NodeRecord) -> "Fleet":
        changed = Fleet(self.version)
        changed.records = {**self.records, record.node: record}
        return changed

    def encode(self) -> bytes:
        """Return the encoded document body."""
        return msgpack.packb([_to_array(record) for record in self])

    @classmethod
    def decode(cls, version: int, body: bytes) -> "Fleet":
        """Decode a fleet from a document body."""
        return cls(version, [_from_array(array) for array in msgpack.unpackb(body)])


def controller_candidates(fleet: Fleet) -> tuple[NodeId, ...]:
    """Return the active node with the lowest VM name in each failure domain."""
    lowest: dict[str, NodeId] = {}
    for record in sorted(fleet.active_records(), key=lambda record: record.node.vm):
        lowest.setdefault(record.failure_domain, record.node)
    return tuple(lowest.values())


def neighbours(fleet: Fleet, node: NodeId) -> frozenset[NodeId]:
    """Return the live witnesses of a node and the nodes for which it is a witness."""
    own = fleet.live(node)
    found = set(own.witnesses) if own is not None else set()
    found = {witness for witness in found if fleet.live(witness) is not None}
    found.update(r.node for r in fleet.live_records() if node in r.witnesses)
    return frozenset(found)


def _to_array(record: NodeRecord) -> list:
    return [
        *record.node,
        *record.address,
        record.failure_domain,
        record.region,
        [part for witness in record.witnesses for part in witness],
        record.witness_sequence,
        record.state,
        # The width is fixed, so that fencing a node does not shift the blocks after it
        # and the delta stays small.
        record.fenced_at.to_bytes(FENCED_AT_BYTES, "big"),
        record.resigned,
    ]


def _from_array(array: list) -> NodeRecord:
    vm, incarnation, host, port, domain, region, parts, sequence, state, *end = array
    fenced_at, resigned = end
    return NodeRecord(
        NodeId(vm, incarnation),
        Address(host, port),
        domain,
        region,
        tuple(map(NodeId, parts[::2], parts[1::2])),
        sequence,
        NodeState(state),
        int.from_bytes(fenced_at, "big"),
        resigned,
    )
