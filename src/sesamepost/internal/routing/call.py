"""A caller's request, parsed and checked."""

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.identity import hash_key

SERVICE_HEADER = "Sesamepost-Service"
KEY_HEADER = "Sesamepost-Key"
TIMEOUT_HEADER = "Sesamepost-Timeout-Ms"
REPEATABLE_HEADER = "Sesamepost-Repeatable"
IDEMPOTENCY_HEADER = "Sesamepost-Idempotency-Key"
BORN_HEADER = "Sesamepost-Born"
CLASS_HEADER = "Sesamepost-Class"

MAX_TIMEOUT_MS = 600_000
MAX_KEY_CHARACTERS = 1024
MAX_HEADERS_BYTES = 32 << 10
SAFE_METHODS = frozenset({"GET", "HEAD"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(slots=True)
class Call:
    """What the router needs to know about one request.

    ``timeout_ms`` is 0 if the caller gave none; the service's default then applies.
    """

    service: str
    key: str
    key_hash: int
    method: str
    target: str
    headers: list
    body: bytes
    timeout_ms: int
    repeatable: bool
    idempotency_key: str
    born: str
    class_name: str


async def parse_call(request: BaseRequest) -> Call:
    """Read a request from the callers' port.

    Raises ``RouterError`` with the kind that the caller is answered with.
    """
    headers = request.headers
    service = headers.get(SERVICE_HEADER)
    if not service:
        raise RouterError(ErrorKind.MISSING_SERVICE)
    key = headers.get(KEY_HEADER)
    if not key:
        raise RouterError(ErrorKind.MISSING_KEY)
    if len(key) > MAX_KEY_CHARACTERS:
        raise RouterError(
            ErrorKind.BAD_REQUEST,
            f"the key has {len(key)} characters, {MAX_KEY_CHARACTERS} are allowed",
        )
    return Call(
        service=service,
        key=key,
        key_hash=_hash(key),
        method=request.method,
        target=request.raw_path,
        headers=forwarded_headers(request.raw_headers),
        body=await request.read() if request.body_exists else b"",
        timeout_ms=_timeout(headers.get(TIMEOUT_HEADER)),
        repeatable=_repeatable(headers.get(REPEATABLE_HEADER), request.method),
        idempotency_key=headers.get(IDEMPOTENCY_HEADER, ""),
        born=headers.get(BORN_HEADER, ""),
        class_name=headers.get(CLASS_HEADER, ""),
    )


def forwarded_headers(raw_headers) -> list:
    """Return the headers that are passed on, as pairs of strings."""
    result = []
    size = 0
    for name, value in raw_headers:
        size += len(name) + len(value)
        text = name.decode("latin-1")
        lower = text.lower()
        if lower in HOP_BY_HOP_HEADERS or lower.startswith("sesamepost-"):
            continue
        result.append((text, value.decode("utf-8", "surrogateescape")))
    if size > MAX_HEADERS_BYTES:
        raise RouterError(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes")
    return result


def _hash(key: str) -> int:
    try:
        return hash_key(key)
    except UnicodeEncodeError:
        raise RouterError(ErrorKind.BAD_REQUEST, "the key is not UTF-8") from None


def _timeout(value: str | None) -> int:
    if value is None:
        return 0
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {value[:32]!r}")
    timeout_ms = int(value)
    if not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {timeout_ms}")
    return timeout_ms


def _repeatable(value: str | None, method: str) -> bool:
    if value is None:
        return method in SAFE_METHODS
    if value not in ("yes", "no"):
        raise RouterError(
            ErrorKind.BAD_REQUEST,
            f"{REPEATABLE_HEADER} must be yes or no, got {value[:32]!r}",
        )
    return value == "yes"
