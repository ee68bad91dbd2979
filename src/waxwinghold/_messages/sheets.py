"""Messages that replicate the sheet between processes."""

from ._base import Message


class SheetPull(Message):
    """Asks a peer for its sheet; the peer answers with a delta or the full sheet.

    ``have_version`` is 0 to ask for the full sheet.
    """

    have_version: int
    have_digest: str


class SheetFull(Message):
    """A full sheet as compressed JSON."""

    version: int
    digest: str
    document: bytes


class SheetDelta(Message):
    """The rows that differ from the sheet that the receiver has."""

    base_version: int
    base_digest: str
    version: int
    digest: str
    patch: bytes
