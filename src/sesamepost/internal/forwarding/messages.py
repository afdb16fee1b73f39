"""Messages between the node beside the caller and the node beside the endpoint."""

from sesamepost.internal.wire.messages import message

NO_KEY = -1


@message(95)
class Forward:
    """A request on its way to the endpoint beside the receiver.

    ``key`` is ``NO_KEY`` for a service that is not partitioned. Requests of one
    ``route`` take about the same time at an endpoint. ``rank`` orders the
    queue, the lowest first. ``retries`` counts the times that the request has reached
    an endpoint before. The answer is an ``Answer`` or a ``Refusal``.
    """

    id: int
    request_id: str
    route: str
    service: str
    key: int
    method: str
    target: str
    headers: tuple
    body: bytes
    timeout_ms: int
    target_latency_ms: int
    rank: int
    retries: int


@message(96)
class LoadHint:
    """The load of the endpoint beside the sender, sent along with answers.

    ``mean_ms`` is the mean time of a request at the endpoint, ``busy_percent`` the
    recent use of its slots. ``failed_percent`` is the share of failures.
    """

    service: str
    running: int
    queued: int
    slots: int
    mean_ms: int
    busy_percent: int
    failed_percent: int


@message(98)
class LoadQuery:
    """Asks for the ``LoadHint`` of the endpoint beside the receiver."""

    id: int
