"""Messages about ranges between nodes."""

from sesamepost.internal.ranges.table import KeyRange, Owner
from sesamepost.internal.wire.messages import message


@message(97)
class RangeUpdate:
    """Announces a changed range before the recipient reads it from the store.

    ``revision`` is the version of the table section with the range. ``owner``
    is empty, or holds the VM, the id and the start time of the endpoint.
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
        """The range as it is in the table."""
        owner = Owner(*self.owner) if self.owner else None
        return KeyRange(self.first, self.last, owner, self.fence, self.handover)


def range_update(service: str, revision: int, r: KeyRange) -> RangeUpdate:
    """Return the message that announces a range."""
    owner = (r.owner.vm, r.owner.endpoint_id, r.owner.born) if r.owner else ()
    return RangeUpdate(service, revision, r.first, r.last, owner, r.fence, r.handover)
