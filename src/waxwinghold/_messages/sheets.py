"""Messages that spread the sheet."""

from ._base import Message


class SheetPull(Message):
    """Asks a peer for its sheet; the peer answers with a delta or the whole."""

    have_version: int
    have_digest: str


class SheetFull(Message):
    """A whole sheet, as compressed JSON."""

    version: int
    digest: str
    document: bytes


class SheetDelta(Message):
    """The rows that differ from the sheet that the other side has."""

    base_version: int
    base_digest: str
    version: int
    digest: str
    patch: bytes
