"""Names of header fields, which an adapter supplies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The header fields that callers and endpoints use.

    ``not_run`` marks a refusal of an
    endpoint that did not run the request. ``caller_service`` names the service beside
    which a request began, and ``expected_endpoint`` the only endpoint that may run it.
    """

    request_id: str
    timeout_ms: str
    not_run: str
    caller_service: str
    expected_endpoint: str
    key: str
    endpoint_id: str
