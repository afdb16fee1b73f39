"""Messages about ranges between nodes."""

from sesamepost.internal.ranges.table import KeyRange, Owner
from sesamepost.internal.wire.messages import message


@message(97)
class RangeUpdate:
    """Tells of one range that a node will read in the store a moment later.

    ``revision`` is that of the table that has it. ``owner`` is empty, or the VM, the id
    and the start of the endpoint.
    """

    service: str
    revision: int
    first: int
    last: int
    owner: tuple
    fence: int
    handover: str

    @property
    def key_range(self) -> KeyRange:
        """The range as it stands in the table."""
        owner = Owner(*self.owner) if self.owner else None
        return KeyRange(self.first, self.last, owner, self.fence, self.handover)


def range_update(service: str, revision: int, r: KeyRange) -> RangeUpdate:
    """Return the message about a range."""
    owner = (r.owner.vm, r.owner.endpoint_id, r.owner.born) if r.owner else ()
    return RangeUpdate(service, revision, r.first, r.last, owner, r.fence, r.handover)
