"""Messages for store calls relayed by a peer, for ended endpoints and for gossip."""

from sesamepost.internal.wire.messages import message


@message(90)
class StoreCall:
    """Asks a peer to perform one store operation; ``arguments`` is msgpack."""

    id: int
    operation: str
    arguments: bytes


@message(109)
class StoreReply:
    """The result of a ``StoreCall``.

    ``error`` is the name of a ``StoreError`` class, or empty if the call succeeded.
    ``era`` is the newest era of the store that the sender knows, or -1.
    """

    id: int
    error: str
    detail: str
    result: bytes
    era: int


@message(92)
class EndpointEnded:
    """Announces that an endpoint no longer holds any range.

    It is sent by the endpoint's own node. ``born`` is the start time of the endpoint,
    as Unix time in milliseconds.
    """

    vm: str
    endpoint_id: str
    born: int


@message(94)
class RevisionQuery:
    """Asks a peer for the revision of the keys that are spread by gossip.

    ``revision`` is the one that the sender has, with its era as in ``eras``.
    ``sent_at`` is the time of the sender's clock, which the reply returns.
    """

    revision: int
    sent_at: float


@message(100)
class RevisionNotice:
    """States the revision of the keys that are spread by gossip.

    ``age_s`` is the age of that knowledge at the sender. ``asked_at`` is the time
    ``sent_at`` of the query, or 0.0 if nobody asked.
    """

    revision: int
    age_s: float
    asked_at: float
