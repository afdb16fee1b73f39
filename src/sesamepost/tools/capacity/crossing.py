"""Size of forwarded requests and the share that crosses between regions."""

from sesamepost.internal.wire.messages import Answer, Request
from sesamepost.tools.capacity.design_size import NODES, REQUESTS_PER_S, location_of
from sesamepost.tools.capacity.messages import encoded_bytes

BODY_BYTES = 256
REQUEST_HEADERS = (
    ("Accept", "*/*"),
    ("Content-Type", "application/json"),
    ("User-Agent", "shop-terminal/4.2"),
    ("X-Request-Id", "0123456789abcdef0123456789abcdef"),
)
ANSWER_HEADERS = (
    ("Content-Type", "application/json; charset=utf-8"),
    ("Date", "Fri, 04 Dec 2026 10:00:00 GMT"),
)


def forwarded_request(body_bytes: int = BODY_BYTES) -> Request:
    """Return a request with the headers of a typical HTTP client."""
    return Request(
        1_000_000_000,
        "service-00",
        "customer-00012345",
        "POST",
        "/lookup",
        REQUEST_HEADERS,
        bytes(body_bytes),
        2000,
        False,
        "",
        "",
        "",
    )


def forwarded_answer(body_bytes: int = BODY_BYTES) -> Answer:
    """Return the answer to ``forwarded_request``."""
    return Answer(1_000_000_000, 200, ANSWER_HEADERS, bytes(body_bytes), False)


def cross_region_share() -> float:
    """Return the share of requests whose caller and owner are in different regions.

    Callers and owners are distributed evenly and independently over the nodes.
    """
    nodes_in_first = sum(
        location_of(number)[1] == "region-a" for number in range(NODES)
    )
    first_share = nodes_in_first / NODES
    return 2 * first_share * (1 - first_share)


def cross_region_bits_per_s() -> float:
    """Return the bits per second in each direction between the regions.

    Each direction carries half of the requests that cross and the answers to the other
    half.
    """
    requests = REQUESTS_PER_S * cross_region_share() / 2
    exchange_bytes = encoded_bytes(forwarded_request()) + encoded_bytes(
        forwarded_answer()
    )
    return 8 * requests * exchange_bytes
