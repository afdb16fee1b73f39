"""Messages that spread documents between daemons."""

from sesamepost.internal.wire.messages import message


@message(50)
class Push:
    """A new version of a document, whole or as the blocks that changed.

    ``base_version`` is 0 for a whole document. ``blocks`` is a list of
    ``[index, bytes]``; ``checksum`` is the BLAKE2b digest of the resulting document.
    """

    name: str
    version: int
    base_version: int
    size: int
    checksum: bytes
    blocks: tuple


@message(51)
class Fetch:
    """Asks for the whole of a document if its version is above ``held_version``."""

    name: str
    held_version: int


@message(52)
class Versions:
    """The versions that a daemon holds, as a list of ``[name, version]``.

    The receiver pushes what it has newer. If it holds something older and
    ``wants_reply`` is set, it answers with its own list.
    """

    versions: tuple
    wants_reply: bool
