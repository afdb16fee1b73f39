"""The messages that daemons exchange, and their encoding.

A message is sent as a msgpack array whose first element is the type number. The number
of a removed message is never reused.
"""

from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, get_type_hints

import msgpack

from sesamepost.internal.identity import NodeId

PROTOCOL_VERSION = 1
# Like version 1, but all bytes after the handshake are compressed.
COMPRESSED_VERSION = 2


class ProtocolError(Exception):
    """A peer sent bytes that are not a valid message."""


def message(number: int):
    """Return a class decorator that registers a message type under ``number``.

    The class becomes a frozen data class.
    """

    def register(cls):
        cls = dataclass(frozen=True, slots=True)(cls)
        if number in _CODECS:
            raise ValueError(f"message number {number} is already in use")
        codec = _Codec(cls, number)
        _CODECS[number] = codec
        _CODEC_OF[cls] = codec
        return cls

    return register


class _Codec:
    """Converts messages of one class to and from arrays."""

    __slots__ = (
        "array_length",
        "cls",
        "field_types",
        "node_id_indexes",
        "number",
        "values",
    )

    def __init__(self, cls: type, number: int) -> None:
        hints = get_type_hints(cls)
        names = [field.name for field in fields(cls)]
        field_types = [
            getattr(hints[name], "__origin__", hints[name]) for name in names
        ]
        self.cls = cls
        self.number = number
        self.array_length = len(names) + 1
        self.node_id_indexes = [
            i for i, field_type in enumerate(field_types) if field_type is NodeId
        ]
        self.field_types = tuple(
            list if field_type in (NodeId, tuple) else field_type
            for field_type in field_types
        )
        if len(names) == 1:
            getter = attrgetter(names[0])
            self.values = lambda item: (getter(item),)
        else:
            self.values = attrgetter(*names)

    def decode(self, array: list) -> Any:
        values = array[1:]
        for value, field_type in zip(values, self.field_types, strict=True):
            if not isinstance(value, field_type):
                raise ProtocolError(
                    f"{self.cls.__name__} has {type(value).__name__} "
                    f"where {field_type.__name__} is expected"
                )
        for index in self.node_id_indexes:
            values[index] = _decode_node_id(values[index])
        return self.cls(*values)


_CODECS: dict[int, _Codec] = {}
_CODEC_OF: dict[type, _Codec] = {}


def _decode_node_id(value: list) -> NodeId:
    match value:
        case [str() as vm, int() as incarnation]:
            return NodeId(vm, incarnation)
        case _:
            raise ProtocolError("a node id must be a VM name and an incarnation number")


def encode(item: Any) -> bytes:
    """Encode a message as msgpack."""
    codec = _CODEC_OF[type(item)]
    return msgpack.packb(
        (codec.number, *codec.values(item)), unicode_errors="surrogateescape"
    )


def decode(data: bytes) -> Any:
    """Decode one message; raise ``ProtocolError`` if ``data`` is invalid."""
    try:
        array = msgpack.unpackb(data, unicode_errors="surrogateescape")
    except Exception as error:
        # Malformed input can raise any of several unrelated exception types.
        raise ProtocolError(f"not msgpack: {error}") from None
    if not isinstance(array, list) or not array or not isinstance(array[0], int):
        raise ProtocolError(
            "a message must be an array that begins with its type number"
        )
    codec = _CODECS.get(array[0])
    if codec is None:
        raise ProtocolError(f"unknown message number {array[0]}")
    if len(array) != codec.array_length:
        raise ProtocolError(
            f"{codec.cls.__name__} has {len(array) - 1} fields, "
            f"expected {codec.array_length - 1}"
        )
    return codec.decode(array)


@message(1)
class Hello:
    """The first message of each side when a stream opens."""

    version: int
    node: NodeId
    nonce: bytes


@message(2)
class Proof:
    """Proves knowledge of the shared key by a MAC over the nonces of both sides."""

    mac: bytes


@message(3)
class Ping:
    """Asks the peer for a ``Pong``, to check that the stream is alive."""

    nonce: int


@message(4)
class Pong:
    """Answers a ``Ping``."""

    nonce: int


@message(5)
class Fragment:
    """A part of a message that is too large to be sent without delaying others."""

    sequence: int
    last: bool
    data: bytes


@message(10)
class Request:
    """A caller's request, forwarded to the owner of its key.

    ``timeout_ms`` is the remaining time. ``idempotency_key``, ``born`` and
    ``class_name`` are empty if the caller did not set them.
    """

    id: int
    service: str
    key: str
    method: str
    target: str
    headers: tuple
    body: bytes
    timeout_ms: int
    repeatable: bool
    idempotency_key: str
    born: str
    class_name: str


@message(11)
class Answer:
    """An endpoint's complete answer.

    ``replayed`` tells that the answer was stored when an earlier request with the same
    idempotency key was executed. ``headers`` is a list of pairs of strings.
    """

    id: int
    status: int
    headers: tuple
    body: bytes
    replayed: bool


@message(12)
class Refusal:
    """An error reported by the owner's daemon, with its version of the assignment."""

    id: int
    kind: str
    detail: str
    assignment_version: int


@message(13)
class Cancel:
    """Tells the owner that the caller no longer waits for the answer."""

    id: int
