"""Messages by which a node uses the store through a peer."""

from sesamepost.internal.wire.messages import message


@message(90)
class StoreCall:
    """Asks a peer to make one call of the store. ``arguments`` is msgpack."""

    id: int
    operation: str
    arguments: bytes


@message(91)
class StoreReply:
    """The result of a ``StoreCall``; ``error`` names an error class or is empty."""

    id: int
    error: str
    detail: str
    result: bytes


@message(92)
class EndpointEnded:
    """Tells that an endpoint holds nothing any more, as the node beside it knows.

    ``born`` is the Unix time of the endpoint's start in milliseconds.
    """

    vm: str
    endpoint_id: str
    born: int
