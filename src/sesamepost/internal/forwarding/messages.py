"""Messages between the caller's node and the endpoint's node."""

from sesamepost.internal.wire.messages import message

NO_KEY = -1


@message(95)
class Forward:
    """A request for the receiver's endpoint.

    ``key`` is ``NO_KEY`` if the service is not partitioned. Requests of the same
    ``route`` are expected to take about the same time. The queue is ordered by
    ``rank``, lowest first. ``retries`` is the number of earlier attempts that reached
    an endpoint. The receiver replies with an ``Answer`` or a ``Refusal``.
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


@message(101)
class LoadHint:
    """The load of the sender's endpoint, also sent along with answers.

    ``mean_ms`` is the mean time of a request at the endpoint, ``busy_percent`` the
    recent usage of its capacity and ``failed_percent`` the recent share of failures.
    ``slots`` is how many requests at once the endpoint takes well at present, and
    The endpoint stays cold for ``cold_ms`` and takes ``cold_per_min`` requests a minute
    until then.
    """

    service: str
    running: int
    queued: int
    slots: int
    mean_ms: int
    busy_percent: int
    failed_percent: int
    cold_ms: int = 0
    cold_per_min: int = 0


@message(98)
class LoadQuery:
    """Requests the ``LoadHint`` of the receiver's endpoint."""

    id: int


@message(110)
class LinkFull:
    """The sender's link has no room for answers on ``route`` for ``wait_ms``.

    Sent before the refusal of a request whose answer would have been late.
    """

    route: str
    wait_ms: int
