"""Parsing and validation of requests from callers."""

from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.dispatch.headers import forwarded_headers
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
ROUTER_HEADER_PREFIX = "sesamepost-"


@dataclass(slots=True)
class Call:
    """A parsed request with everything that routing needs.

    ``timeout_ms`` is 0 if the caller gave no timeout; the service's default then
    applies.
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
    """Read and validate a request from a caller.

    Raises ``RouterError`` with the error kind for the caller's answer.
    """
    forwarded, router_fields = split_headers(request.raw_headers)
    service = router_fields.get("service")
    if not service:
        raise RouterError(ErrorKind.MISSING_SERVICE)
    key = router_fields.get("key")
    if not key:
        raise RouterError(ErrorKind.MISSING_KEY)
    if len(key) > MAX_KEY_CHARACTERS:
        raise RouterError(
            ErrorKind.BAD_REQUEST,
            f"the key has {len(key)} characters; the limit is {MAX_KEY_CHARACTERS}",
        )
    return Call(
        service=service,
        key=key,
        key_hash=_hash_key(key),
        method=request.method,
        target=_parse_target(request),
        headers=forwarded,
        body=await request.read() if request.body_exists else b"",
        timeout_ms=_parse_timeout(router_fields.get("timeout-ms")),
        repeatable=_parse_repeatable(router_fields.get("repeatable"), request.method),
        idempotency_key=router_fields.get("idempotency-key", ""),
        born=router_fields.get("born", ""),
        class_name=router_fields.get("class", ""),
    )


def split_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> tuple[list[tuple[str, str]], dict[str, str]]:
    """Return the headers to forward and those addressed to the router.

    The names of the latter are in lower case and without ``Sesamepost-``. A repeated
    header of this kind is refused: if a request had two keys, it could be routed by one
    and checked against the other.
    """
    size = 0
    for name, value in raw_headers:
        size += len(name) + len(value)
    if size > MAX_HEADERS_BYTES:
        raise RouterError(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes")
    forwarded = []
    router_fields: dict[str, str] = {}
    for name, lower, value in forwarded_headers(raw_headers):
        if not lower.startswith(ROUTER_HEADER_PREFIX):
            forwarded.append((name, value))
            continue
        short = lower[len(ROUTER_HEADER_PREFIX) :]
        if short in router_fields:
            raise RouterError(
                ErrorKind.BAD_REQUEST, f"the header {name} appears more than once"
            )
        router_fields[short] = value
    return forwarded, router_fields


def _parse_target(request: BaseRequest) -> str:
    target = request.raw_path
    if not target.startswith("/"):
        raise RouterError(
            ErrorKind.BAD_REQUEST,
            "the request target must be a path that begins with /",
        )
    return target


def _hash_key(key: str) -> int:
    try:
        return hash_key(key)
    except UnicodeEncodeError:
        raise RouterError(ErrorKind.BAD_REQUEST, "the key is not valid UTF-8") from None


def _parse_timeout(value: str | None) -> int:
    if value is None:
        return 0
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {value[:32]!r}")
    timeout_ms = int(value)
    if not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {timeout_ms}")
    return timeout_ms


def _parse_repeatable(value: str | None, method: str) -> bool:
    if value is None:
        return method in SAFE_METHODS
    if value not in ("yes", "no"):
        raise RouterError(
            ErrorKind.BAD_REQUEST,
            f"{REPEATABLE_HEADER} must be yes or no, got {value[:32]!r}",
        )
    return value == "yes"
