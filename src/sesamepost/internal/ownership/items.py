"""Units of ownership: partitions, and hot keys with an owner of their own."""

from collections.abc import Callable
from typing import NamedTuple

from sesamepost.internal.ownership.assignment import Assignment


class Item(NamedTuple):
    """A partition of a service, or a single hot key identified by its hash."""

    service: str
    is_key: bool
    number: int

    def __str__(self) -> str:
        kind = f"key {self.number:016x}" if self.is_key else f"partition {self.number}"
        return f"{self.service} {kind}"

    @property
    def fence_name(self) -> str:
        """The value of ``Sesamepost-Partition``, within which epochs never decrease.

        A hot key has a separate name. If it shared the name of its partition, a node
        that owns both could send the lower epoch after the higher one, and a fenced
        endpoint would refuse the request.
        """
        return f"key-{self.number:016x}" if self.is_key else str(self.number)


def item_of(assignment: Assignment, key_hash: int) -> Item:
    """Return the partition or hot key to which a key with this hash belongs."""
    if key_hash in assignment.key_overrides:
        return Item(assignment.service, True, key_hash)
    return Item(assignment.service, False, assignment.partition_of(key_hash))


def key_hash_filter(assignment: Assignment, item: Item) -> Callable[[int], bool]:
    """Return a predicate that tests whether a key hash belongs to ``item``.

    A hot key with its own owner does not belong to its partition.
    """
    if item.is_key:
        return lambda key_hash: key_hash == item.number
    return lambda key_hash: (
        assignment.partition_of(key_hash) == item.number
        and key_hash not in assignment.key_overrides
    )
