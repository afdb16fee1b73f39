"""Deltas between two versions of a document in blocks of fixed size."""

import hashlib

from sesamepost.internal.documents.messages import Push

BLOCK_BYTES = 256
CHECKSUM_BYTES = 16
MAX_DOCUMENT_BYTES = 1 << 20


class DeltaMismatchError(Exception):
    """The delta does not apply to the held version; the whole document is needed."""


def checksum(data: bytes) -> bytes:
    """Return the checksum of a whole document."""
    return hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def full_push(name: str, version: int, data: bytes) -> Push:
    """Return a push that contains the whole document."""
    return Push(name, version, 0, len(data), checksum(data), [[0, data]])


def delta_push(
    name: str, version: int, data: bytes, base_version: int, base: bytes
) -> Push:
    """Return a push of the blocks that differ from ``base``.

    If more than half of the document differs, the push contains the whole document.
    """
    blocks = []
    for start in range(0, len(data), BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        if block == base[start : start + BLOCK_BYTES]:
            continue
        blocks.append([start // BLOCK_BYTES, block])
    if len(blocks) * BLOCK_BYTES * 2 > len(data):
        return full_push(name, version, data)
    return Push(name, version, base_version, len(data), checksum(data), blocks)


def apply_push(push: Push, base_version: int, base: bytes) -> bytes:
    """Return the document that results from ``push``.

    Raises ``DeltaMismatchError`` if the push is a delta against a version other than
    ``base_version`` or if the result does not match the checksum.
    """
    if push.base_version == 0:
        data = push.blocks[0][1]
    elif push.base_version == base_version:
        data = _replace_blocks(push, base)
    else:
        raise DeltaMismatchError(
            f"{push.name}: delta against version {push.base_version}, "
            f"version {base_version} is held"
        )
    if checksum(data) != push.checksum:
        raise DeltaMismatchError(f"{push.name}: checksum mismatch")
    return data


def _replace_blocks(push: Push, base: bytes) -> bytes:
    data = bytearray(base[: push.size].ljust(push.size, b"\0"))
    for index, block in push.blocks:
        start = index * BLOCK_BYTES
        if start + len(block) > push.size:
            raise DeltaMismatchError(
                f"{push.name}: block {index} exceeds the document size"
            )
        data[start : start + len(block)] = block
    return bytes(data)
