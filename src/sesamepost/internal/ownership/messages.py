"""Messages of a planned move.

All of them name what moves by ``service``, ``is_key`` and ``item`` (a partition, or the
hash of a hot key) and ``epoch``, the epoch that is given up.
"""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import message


@message(60)
class Release:
    """The controller asks the owner to give an item up in favour of ``target``."""

    service: str
    is_key: bool
    item: int
    epoch: int
    target: NodeId


@message(61)
class Released:
    """The owner serves the item no more under this epoch.

    ``records_kept`` is true if ``target`` has taken all records. Otherwise the next
    owner begins a new coverage epoch.
    """

    service: str
    is_key: bool
    item: int
    epoch: int
    target: NodeId
    records_kept: bool


@message(62)
class Records:
    """A part of an item's idempotency records on their way to the next owner.

    ``records`` holds arrays ``[key, idempotency key, key hash, state, age in seconds,
    status, headers, body]``. ``coverage_age_s`` is the time for which the records have
    been complete since ``coverage_epoch``.
    """

    service: str
    is_key: bool
    item: int
    epoch: int
    coverage_epoch: int
    coverage_age_s: float
    part: int
    parts: int
    records: tuple


@message(63)
class RecordsTaken:
    """Tells whether the next owner keeps this part and all parts before it."""

    service: str
    is_key: bool
    item: int
    epoch: int
    part: int
    taken: bool
