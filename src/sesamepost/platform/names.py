"""Names of the platform's interfaces: headers, paths and variables."""

from sesamepost.internal.forwarding.protocol_names import HeaderNames

HEADERS = HeaderNames(
    request_id="Request-Id",
    timeout_ms="Deadline-Milliseconds",
    not_run="Not-Executed",
    caller_service="Caller-Service",
    expected_endpoint="Expected-Instance",
    key="Shard-Key",
    endpoint_id="Instance-Id",
)
HANDOVER_HEADER = "Handover"

SETTINGS_VARIABLE = "SESAMEPOST_BOOT"
OPERATOR_KEY = "op/config"

READY_PATH = "/readiness"
METRICS_PATH = "/metrics"
HEARTBEAT_PATH = "/Instances.Heartbeat/{id}"
LEAVE_PATH = "/Instances.Leave/{id}"
GRANT_PATH = "/grant"
RELEASE_PATH = "/release"
