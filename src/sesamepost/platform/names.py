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
    load="Server-Load",
    cold_ms="Cold-Milliseconds",
)
HANDOVER_HEADER = "Handover"
# Rises when the store comes back from an older copy.
ERA_HEADER = "Store-Era"

SETTINGS_VARIABLE = "SESAMEPOST_BOOT"
OPERATOR_KEY = "op/config"
# The rest of such a key names a zone whose workers are to get no requests.
EVACUATION_PREFIX = "op/evacuate/"

READY_PATH = "/readiness"
METRICS_PATH = "/metrics"
HEARTBEAT_PATH = "/Instances.Heartbeat/{id}"
LEAVE_PATH = "/Instances.Leave/{id}"
GRANT_PATH = "/grant"
RELEASE_PATH = "/release"
