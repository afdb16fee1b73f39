"""The limits of a server for its clients, derived from the limits of its process."""

from dataclasses import dataclass

# Descriptors that a process needs for other things than sockets.
RESERVED_DESCRIPTORS = 200
# The part of the descriptors that connections of clients may use. Peers, endpoints and
# the store need the others.
CLIENT_DESCRIPTORS_DIVISOR = 2
MIN_CONNECTIONS = 16
# A connection without a request, with its task and its parser.
CONNECTION_BYTES = 20_000
# The part of the memory that connections without requests may use, and the part for the
# requests and answers on them.
CONNECTIONS_MEMORY_DIVISOR = 10
REQUESTS_MEMORY_DIVISOR = 6
# The largest body, of 8 MiB, with its copies.
MIN_REQUEST_BYTES = 32 << 20


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """How many connections a server accepts, and how much memory it uses for them."""

    connections: int
    request_bytes: int


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits while a request is read, for servers without settings of an operator."""

    header_bytes: int = 32 << 10
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


def client_limits(memory_bytes: int, file_descriptors: int) -> ClientLimits:
    """Return the limits for the clients of a process that has these limits itself."""
    sockets = max(0, file_descriptors - RESERVED_DESCRIPTORS)
    by_descriptors = sockets // CLIENT_DESCRIPTORS_DIVISOR
    by_memory = memory_bytes // CONNECTIONS_MEMORY_DIVISOR // CONNECTION_BYTES
    return ClientLimits(
        max(MIN_CONNECTIONS, min(by_descriptors, by_memory)),
        max(MIN_REQUEST_BYTES, memory_bytes // REQUESTS_MEMORY_DIVISOR),
    )


# For processes whose settings do not name their own limits.
DEFAULT_CLIENT_LIMITS = client_limits(300_000_000, 4096)
