"""Compression of what is spread, with a bound on what it may grow to."""

import zlib

from .._errors import WaxwingError

DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
LEVEL = 6


class BrokenDocumentError(WaxwingError):
    """Compressed bytes that are broken or grow past the limit."""

    code = "broken_document"


def compress(document):
    """Return ``document`` compressed."""
    return zlib.compress(document, LEVEL)


def decompress(compressed):
    """Return the document that ``compressed`` holds.

    Raises:
        BrokenDocumentError: It is broken, cut or larger than the limit.
    """
    inflater = zlib.decompressobj()
    try:
        document = inflater.decompress(compressed, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise BrokenDocumentError(f"cannot be decompressed: {error}") from error
    if not inflater.eof:
        reason = f"is cut or larger than {DOCUMENT_LIMIT_BYTES} bytes"
        raise BrokenDocumentError(f"compressed document {reason}")
    return document
