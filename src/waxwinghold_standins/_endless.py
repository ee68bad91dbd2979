"""Answers that do not end: bytes that stand-ins send until their peer closes."""

import asyncio

BLOCK_BYTES = 16 * 1024
SEND_LIMIT_BYTES = 96 * 1024 * 1024  # Bounds the memory of a peer that reads on.

CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _block(piece):
    return piece * max(1, BLOCK_BYTES // len(piece))


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# By kind: what follows the headers of an answer, and the block that is repeated.
ENDLESS_BODIES = {
    "chunked": (CHUNKED + b"\r\n", _chunk(b"x" * BLOCK_BYTES)),
    "until_close": (b"\r\n", b"x" * BLOCK_BYTES),
    "tiny_chunks": (CHUNKED + b"\r\n", _block(_chunk(b"xy"))),
    "extension": (CHUNKED + b"\r\n5;a=", b"x" * BLOCK_BYTES),
    "trailers": (CHUNKED + b"\r\n0\r\n", _block(b"Trailer-Field: x\r\n")),
    "length": (b"Content-Length: 1000000000000\r\n\r\n", b"x" * BLOCK_BYTES),
}
ENDLESS_HEADS = {
    "fields": (b"", _block(b"Field: x\r\n")),
    "field": (b"Field: ", b"x" * BLOCK_BYTES),
    "field_name": (b"", b"x" * BLOCK_BYTES),
}
# The same without a status line and headers before it.
ENDLESS_STARTS = {
    "status_line": (b"HTTP/1.1 200 ", b"x" * BLOCK_BYTES),
    "interim_heads": (b"", _block(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")),
}
ENDLESS = ENDLESS_BODIES | ENDLESS_HEADS | ENDLESS_STARTS


async def send_endless(writer, kind, *, status=200, headers=(), on_sent=None):
    """Send an answer without end until the peer closes the connection.

    Args:
        writer: The ``asyncio.StreamWriter`` of the connection.
        kind: A key of ``ENDLESS``.
        headers: Pairs of name and value at the begin of the answer.
        on_sent: Called with the number of bytes after each block.
    """
    begin, block = ENDLESS[kind]
    if kind not in ENDLESS_STARTS:
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"{name}: {value}" for name, value in headers]
        begin = "\r\n".join([*lines, ""]).encode() + begin
    writer.write(begin)
    await send_blocks(writer, block, on_sent=on_sent)


async def send_blocks(writer, block, *, on_sent=None):
    """Send ``block`` over and over until the peer closes the connection."""
    sent_bytes = 0
    while sent_bytes < SEND_LIMIT_BYTES:
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(0)  # ``drain`` alone does not let the peer read.
        sent_bytes += len(block)
        if on_sent is not None:
            on_sent(len(block))
