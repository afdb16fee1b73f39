"""Messages for store calls relayed by a peer, and for ended endpoints."""

from sesamepost.internal.wire.messages import message


@message(90)
class StoreCall:
    """Asks a peer to perform one store operation; ``arguments`` is msgpack."""

    id: int
    operation: str
    arguments: bytes


@message(91)
class StoreReply:
    """The result of a ``StoreCall``.

    ``error`` is the name of a ``StoreError`` class, or empty if the call succeeded.
    """

    id: int
    error: str
    detail: str
    result: bytes


@message(92)
class EndpointEnded:
    """Announces that an endpoint no longer holds any range.

    It is sent by the endpoint's own node. ``born`` is the start time of the endpoint,
    as Unix time in milliseconds.
    """

    vm: str
    endpoint_id: str
    born: int
