"""Messages that replicate documents between daemons."""

from sesamepost.internal.wire.messages import message


@message(50)
class Push:
    """Sends a new version of a document, whole or as the blocks that changed.

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
    """Asks for the whole document if its version is above ``held_version``."""

    name: str
    held_version: int


@message(52)
class Versions:
    """Lists the versions that a daemon holds as ``[name, version]`` pairs.

    The receiver pushes every document of which it has a newer version. If it holds an
    older version of any document and ``wants_reply`` is set, it answers with its own
    list.
    """

    versions: tuple
    wants_reply: bool
