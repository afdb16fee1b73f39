"""Names of HTTP headers, supplied by the adapter."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The headers exchanged with callers and endpoints.

    An endpoint sets ``not_run`` if it refused a request without running it.
    ``caller_service`` names the service of the local endpoint of the node that received
    the request, and ``expected_endpoint`` the only endpoint that may run it. In
    ``load``, an endpoint tells its load with each response, and in ``cold_ms`` for how
    many milliseconds it stays cold.
    """

    request_id: str
    timeout_ms: str
    not_run: str
    caller_service: str
    expected_endpoint: str
    key: str
    endpoint_id: str
    load: str = ""
    cold_ms: str = ""
