"""Document envelopes, and writes whose outcome is resolved after a lost reply."""

import asyncio
import secrets
from dataclasses import dataclass

import msgpack

from sesamepost.internal.store.interface import (
    Store,
    StoreConflictError,
    StoredValue,
    StoreRefusedError,
    StoreUnavailableError,
)

FORMAT = 1
KEPT_WRITE_IDS = 16
WRITE_ID_BYTES = 8
RESOLVE_TIMEOUT_S = 5.0
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.8


class EnvelopeError(ValueError):
    """The stored value is not an envelope that this release can read."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A document as stored: its author, its latest write ids and its body.

    ``write_ids`` holds a random id for each of the latest writes, oldest first.
    """

    author: str
    write_ids: tuple[bytes, ...]
    body: bytes


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as the bytes to store."""
    return msgpack.packb(
        {
            "format": FORMAT,
            "author": envelope.author,
            "write_ids": list(envelope.write_ids),
            "body": envelope.body,
        }
    )


def decode_envelope(value: bytes) -> Envelope:
    """Decode a stored value; raise ``EnvelopeError`` if it is not an envelope."""
    try:
        content = msgpack.unpackb(value)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise EnvelopeError(f"the stored value is not msgpack: {error}") from None
    match content:
        case {
            "format": int(number),
            "author": str(author),
            "write_ids": list(write_ids),
            "body": bytes(body),
        }:
            pass
        case _:
            raise EnvelopeError("the stored value is not a document envelope")
    if number != FORMAT:
        raise EnvelopeError(
            f"the document has format {number}, but this release reads format"
            f" {FORMAT}; use the release that wrote it"
        )
    if not all(isinstance(item, bytes) for item in write_ids):
        raise EnvelopeError("the write ids of the document must be byte strings")
    return Envelope(author, tuple(write_ids), body)


async def write_document(
    store: Store, key: str, body: bytes, author: str, expected: int
) -> int:
    """Write a document if its version is ``expected`` (0: absent).

    Returns the new version. After a lost reply, the document is read back and searched
    for the id of this write. A put that has not taken effect is sent again with the
    same id and the same expected version. The two cannot both take effect, because a
    key never returns to an earlier version.

    Raises ``StoreConflictError`` if another write came first, and
    ``StoreUnavailableError`` if the outcome is still unknown after
    ``RESOLVE_TIMEOUT_S``. Raises ``EnvelopeError`` without writing anything if the
    current value is not a document.
    """
    write = _ConditionalWrite(store, key, body, author, expected)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RESOLVE_TIMEOUT_S
    delay = FIRST_RETRY_DELAY_S
    while True:
        version = await write.attempt()
        if version is not None:
            return version
        if loop.time() + delay > deadline:
            raise write.unresolved_error()
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RETRY_DELAY_S)


class _ConditionalWrite:
    """A compare-and-swap write whose replies may be lost."""

    def __init__(
        self, store: Store, key: str, body: bytes, author: str, expected: int
    ) -> None:
        self.store = store
        self.key = key
        self.body = body
        self.author = author
        self.expected = expected
        self.write_id = secrets.token_bytes(WRITE_ID_BYTES)
        self.value = b""
        self.may_have_taken_effect = False
        self.conflict: StoreConflictError | None = None
        self.last_error: Exception | None = None

    async def read_earlier_ids(self) -> tuple[bytes, ...]:
        if self.expected == 0:
            return ()
        stored = await self.store.get(self.key)
        if stored is None:
            raise StoreConflictError(self.key, self.expected, 0)
        envelope = decode_envelope(stored.value)
        if stored.version != self.expected:
            raise StoreConflictError(
                self.key, self.expected, stored.version, envelope.author
            )
        return envelope.write_ids

    async def attempt(self) -> int | None:
        """Try to write; return the version, or None if another attempt is needed."""
        if not self.value:
            try:
                earlier_ids = await self.read_earlier_ids()
            except StoreUnavailableError as error:
                self.last_error = error
                return None
            write_ids = (*earlier_ids, self.write_id)[-KEPT_WRITE_IDS:]
            self.value = encode_envelope(Envelope(self.author, write_ids, self.body))
        if self.may_put():
            try:
                return await self.store.put(self.key, self.value, self.expected)
            except StoreRefusedError as error:
                self.last_error = error
                if not self.may_have_taken_effect:
                    return None
            except StoreUnavailableError as error:
                self.last_error = error
                self.may_have_taken_effect = True
            except StoreConflictError as error:
                self.conflict = error
        return await self.read_back()

    def may_put(self) -> bool:
        """Return whether the put can be sent without the risk of a second effect.

        A document that was created can be absent again because it was deleted, so a
        creation whose outcome is unknown is not sent again.
        """
        if self.conflict is not None:
            return False
        return self.expected > 0 or not self.may_have_taken_effect

    async def read_back(self) -> int | None:
        try:
            stored = await self.store.get(self.key)
        except StoreUnavailableError as error:
            self.last_error = error
            if self.conflict is not None and not self.may_have_taken_effect:
                raise self.conflict from error
            return None
        if stored is None:
            return self.resolve_absent()
        return self.resolve_present(stored)

    def resolve_absent(self) -> int | None:
        if self.conflict is not None and not self.may_have_taken_effect:
            raise StoreConflictError(self.key, self.expected, 0)
        return None

    def resolve_present(self, stored: StoredValue) -> int | None:
        try:
            envelope = decode_envelope(stored.value)
        except EnvelopeError:
            envelope = Envelope("", (), b"")
        count = len(envelope.write_ids)
        if self.write_id in envelope.write_ids:
            # Every write increments the version and appends one id.
            later_writes = count - 1 - envelope.write_ids.index(self.write_id)
            return stored.version - later_writes
        if stored.version == self.expected:
            return None
        ids_reach_back = stored.version - count <= self.expected
        if ids_reach_back or not self.may_have_taken_effect:
            raise StoreConflictError(
                self.key, self.expected, stored.version, envelope.author
            )
        # The kept ids do not go back to the version that this write would have had.
        raise self.unresolved_error()

    def unresolved_error(self) -> StoreUnavailableError:
        if not self.may_have_taken_effect:
            return StoreRefusedError(
                f"{self.key} was not written: {self.last_error or 'no answer'}"
            )
        return StoreUnavailableError(
            f"it is not known whether {self.key} was written"
            f" ({self.last_error or 'no answer'}); read it before writing again"
        )
