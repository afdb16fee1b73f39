"""The copies of all documents that one daemon holds."""

import hashlib
from dataclasses import dataclass

from reactivex.subject import Subject

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class Document:
    """One version of a document, without the store's envelope."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """A document rose from ``previous`` (None if it is new) to ``current``."""

    previous: Document | None
    current: Document


class Replica:
    """Holds the newest known version of every document.

    ``changes`` is an observable of ``DocumentChange``. A version at or below the one
    held is ignored, so no document ever goes back.
    """

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.changes: Subject = Subject()
        self.digest = self._compute_digest()

    def version_of(self, name: str) -> int:
        """Return the version held, 0 if there is none."""
        document = self.documents.get(name)
        return 0 if document is None else document.version

    def versions(self) -> list[list]:
        """Return ``[name, version]`` of every document, by name."""
        return [[name, self.documents[name].version] for name in sorted(self.documents)]

    def offer(self, name: str, version: int, body: bytes) -> bool:
        """Take a version if it is newer than the one held."""
        previous = self.documents.get(name)
        if previous is not None and version <= previous.version:
            return False
        document = Document(name, version, body)
        self.documents[name] = document
        self.digest = self._compute_digest()
        self.changes.on_next(DocumentChange(previous, document))
        return True

    def _compute_digest(self) -> bytes:
        text = repr(self.versions()).encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
