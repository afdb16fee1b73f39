"""Messages of a planned move.

Each message identifies the item that moves by ``service``, ``is_key`` and ``item`` (the
number of a partition or the hash of a hot key). ``epoch`` is the epoch under which the
present owner serves it, and which ends with the release.
"""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import message


@message(60)
class Release:
    """Asks the owner to stop serving an item, which moves to ``target``."""

    service: str
    is_key: bool
    item: int
    epoch: int
    target: NodeId


@message(61)
class Released:
    """Confirms that the owner no longer serves the item under this epoch.

    ``records_kept`` is true if ``target`` has accepted all idempotency records.
    Otherwise a new coverage epoch begins with the next owner.
    """

    service: str
    is_key: bool
    item: int
    epoch: int
    target: NodeId
    records_kept: bool


@message(62)
class Records:
    """One part of an item's idempotency records, sent to the next owner.

    ``records`` holds arrays ``[key, idempotency key, key hash, state, age in seconds,
    status, headers, body]``. ``coverage_age_s`` is the time in seconds for which the
    records have been complete, counted from the start of ``coverage_epoch``.
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
    """Reports whether the next owner has stored this part and all parts before it."""

    service: str
    is_key: bool
    item: int
    epoch: int
    part: int
    taken: bool
