"""Compression of replicated documents, with a limit on the decompressed size."""

import zlib

from .._errors import WaxwingError

DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 6


class BrokenDocumentError(WaxwingError):
    """Compressed bytes that are corrupt, or that decompress past the limit."""

    code = "broken_document"


def compress(document):
    """Compress ``document``, bytes, with zlib."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def decompress(compressed):
    """Decompress the output of ``compress``.

    Raises:
        BrokenDocumentError: The input is corrupt or truncated, or the document
            is larger than ``DOCUMENT_LIMIT_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise BrokenDocumentError(
            f"document cannot be decompressed: {error}"
        ) from error
    if not decompressor.eof:
        reason = f"is truncated or larger than {DOCUMENT_LIMIT_BYTES} bytes"
        raise BrokenDocumentError(f"document {reason}")
    return document
