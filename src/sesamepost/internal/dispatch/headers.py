"""Selection of the HTTP header fields that the router forwards."""

from collections.abc import Iterable, Iterator
from functools import lru_cache

# Bounds the memory that arbitrary names sent by callers and endpoints can take.
MAX_CACHED_NAMES = 512
MAX_CACHED_NAME_BYTES = 64
# ``Content-Length`` is included because each hop sets it from the body that it sends.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> Iterator[tuple[str, str, str]]:
    """Yield the name, lower-case name and value of each field to forward.

    Fields that apply to a single connection are left out: those in
    ``HOP_BY_HOP_HEADERS`` and those listed in ``Connection`` (RFC 9110, section 7.6.1).
    """
    connection_options: set[str] = set()
    fields = []
    for raw_name, raw_value in raw_headers:
        if len(raw_name) <= MAX_CACHED_NAME_BYTES:
            name, lower, hop_by_hop = _decode_name(raw_name)
        else:
            name, lower, hop_by_hop = _decode_name.__wrapped__(raw_name)
        if not hop_by_hop:
            fields.append((name, lower, raw_value.decode("utf-8", "surrogateescape")))
        elif lower == "connection":
            options = raw_value.decode("latin-1").lower().split(",")
            connection_options.update(option.strip() for option in options)
    if connection_options:
        return (field for field in fields if field[1] not in connection_options)
    return iter(fields)


@lru_cache(MAX_CACHED_NAMES)
def _decode_name(raw_name: bytes) -> tuple[str, str, bool]:
    name = raw_name.decode("latin-1")
    lower = name.lower()
    return name, lower, lower in HOP_BY_HOP_HEADERS
