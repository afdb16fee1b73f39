"""The assignment document, which maps the keys of a service to their owners."""

import sys
from array import array
from dataclasses import dataclass

import msgpack

from sesamepost.internal.identity import NodeId

NO_OWNER = 0xFFFF
MAX_PARTITIONS = 4096
MAX_KEY_OVERRIDES = 64


@dataclass(frozen=True, slots=True)
class Placement:
    """The owner of a key together with its epochs.

    ``epoch`` is the document version at which the key last changed owner; it serves as
    the fencing token. ``coverage_epoch`` is the version of the last change of owner in
    which the idempotency records of the previous owner were lost.
    """

    owner: NodeId | None
    partition: int
    epoch: int
    coverage_epoch: int


@dataclass(frozen=True, slots=True)
class KeyOverride:
    """A hot key whose owner is set independently of its partition."""

    owner: int
    epoch: int
    coverage_epoch: int


class Assignment:
    """Owner and epochs of every partition of one service.

    Each array has one entry per partition: ``owners`` holds an index into ``nodes``
    (or ``NO_OWNER``), ``epochs`` and ``coverage_epochs`` hold document versions. The
    methods that change an owner take the version that the compare-and-swap will create.
    """

    __slots__ = (
        "coverage_epochs",
        "epochs",
        "key_overrides",
        "nodes",
        "owners",
        "service",
        "version",
    )

    def __init__(self, service: str, partitions: int) -> None:
        if partitions & (partitions - 1) or not 1 <= partitions <= MAX_PARTITIONS:
            raise ValueError(
                f"partitions must be a power of two up to {MAX_PARTITIONS}, "
                f"not {partitions}"
            )
        self.service = service
        self.version = 0
        self.nodes: list[NodeId] = []
        self.owners = array("H", [NO_OWNER]) * partitions
        self.epochs = array("I", [0]) * partitions
        self.coverage_epochs = array("I", [0]) * partitions
        self.key_overrides: dict[int, KeyOverride] = {}

    def __len__(self) -> int:
        return len(self.owners)

    def partition_of(self, key_hash: int) -> int:
        """Return the partition to which a key with this hash belongs."""
        return key_hash & (len(self.owners) - 1)

    def owner_of_partition(self, partition: int) -> NodeId | None:
        """Return the owner of a partition, disregarding hot keys with other owners."""
        index = self.owners[partition]
        return None if index == NO_OWNER else self.nodes[index]

    def find(self, key_hash: int) -> Placement:
        """Return the placement of the key with this hash."""
        partition = self.partition_of(key_hash)
        entry = self.key_overrides.get(key_hash)
        if entry is not None:
            return Placement(
                self.nodes[entry.owner], partition, entry.epoch, entry.coverage_epoch
            )
        return Placement(
            self.owner_of_partition(partition),
            partition,
            self.epochs[partition],
            self.coverage_epochs[partition],
        )

    def copy(self) -> "Assignment":
        """Return an independent copy to modify and write as a new version."""
        return Assignment.decode(self.service, self.version, self.encode())

    def node_index(self, node: NodeId) -> int:
        """Return the index of ``node`` in the node table, adding it if needed."""
        if node in self.nodes:
            return self.nodes.index(node)
        used = set(self.owners) | {e.owner for e in self.key_overrides.values()}
        for index in range(len(self.nodes)):
            if index not in used:
                self.nodes[index] = node
                return index
        self.nodes.append(node)
        return len(self.nodes) - 1

    def set_partition_owner(
        self, partition: int, node: NodeId, version: int, records_kept: bool
    ) -> None:
        """Assign a partition to ``node`` as of document version ``version``.

        A partition that never had an owner has no records to lose, so its coverage
        epoch stays 0.
        """
        if not records_kept and self.owners[partition] != NO_OWNER:
            self.coverage_epochs[partition] = version
        self.owners[partition] = self.node_index(node)
        self.epochs[partition] = version

    def set_key_owner(
        self, key_hash: int, node: NodeId, version: int, records_kept: bool
    ) -> None:
        """Assign one hot key to ``node`` as of document version ``version``."""
        if (
            key_hash not in self.key_overrides
            and len(self.key_overrides) >= MAX_KEY_OVERRIDES
        ):
            raise ValueError(
                f"service {self.service} already has {MAX_KEY_OVERRIDES} hot keys "
                "with an owner of their own"
            )
        coverage = self.find(key_hash).coverage_epoch if records_kept else version
        self.key_overrides[key_hash] = KeyOverride(
            self.node_index(node), version, coverage
        )

    def remove_key_owner(self, key_hash: int, version: int, records_kept: bool) -> None:
        """Return a hot key to the owner of its partition.

        The epoch of the partition is raised as well, because an owner that released the
        key does not serve it again until it sees a higher epoch.
        """
        entry = self.key_overrides.pop(key_hash)
        partition = self.partition_of(key_hash)
        self.epochs[partition] = version
        self.coverage_epochs[partition] = max(
            self.coverage_epochs[partition],
            entry.coverage_epoch if records_kept else version,
        )

    def encode(self) -> bytes:
        """Return the encoded document body."""
        return msgpack.packb(
            [
                [list(node) for node in self.nodes],
                _to_bytes(self.owners),
                _to_bytes(self.epochs),
                _to_bytes(self.coverage_epochs),
                [
                    [key_hash, entry.owner, entry.epoch, entry.coverage_epoch]
                    for key_hash, entry in sorted(self.key_overrides.items())
                ],
            ]
        )

    @classmethod
    def decode(cls, service: str, version: int, body: bytes) -> "Assignment":
        """Decode an assignment from a document body."""
        nodes, owners, epochs, coverage_epochs, key_overrides = msgpack.unpackb(body)
        self = cls(service, len(owners) // 2)
        self.version = version
        self.nodes = [NodeId(vm, incarnation) for vm, incarnation in nodes]
        self.owners = _from_bytes("H", owners)
        self.epochs = _from_bytes("I", epochs)
        self.coverage_epochs = _from_bytes("I", coverage_epochs)
        self.key_overrides = {
            key_hash: KeyOverride(owner, epoch, coverage)
            for key_hash, owner, epoch, coverage in key_overrides
        }
        return self


def _to_bytes(values: array) -> bytes:
    if sys.byteorder == "little":
        return values.tobytes()
    swapped = array(values.typecode, values)
    swapped.byteswap()
    return swapped.tobytes()


def _from_bytes(typecode: str, data: bytes) -> array:
    values = array(typecode, data)
    if sys.byteorder == "big":
        values.byteswap()
    return values
