"""The local copies of all documents on one daemon."""

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
    """The replacement of ``previous`` (None for a new document) by ``current``."""

    previous: Document | None
    current: Document


class Replica:
    """Holds the newest known version of every document.

    ``changes`` is an observable of ``DocumentChange``. A version that is not newer than
    the held one is ignored, so a document never reverts to an older version.
    """

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.changes: Subject = Subject()
        self.digest = self._compute_digest()

    def version_of(self, name: str) -> int:
        """Return the held version of a document, or 0 if there is none."""
        document = self.documents.get(name)
        return 0 if document is None else document.version

    def versions(self) -> list[list]:
        """Return ``[name, version]`` of every document, sorted by name."""
        return [[name, self.documents[name].version] for name in sorted(self.documents)]

    def offer(self, name: str, version: int, body: bytes) -> bool:
        """Store a version and return True if it is newer than the held one."""
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
