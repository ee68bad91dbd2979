"""Returns freed memory to the system."""

import ctypes

import logbook

log = logbook.Logger("memory")

M_MMAP_THRESHOLD = -3  # Of ``malloc.h``.
LARGE_BLOCK_BYTES = 256 * 1024


def return_large_blocks():
    """Make the C library return each large block to the system when it is freed.

    By default it raises the size from which it does so to that of the largest freed
    block. Bodies of several MB would then leave holes that stay with the process.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None or not mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES):
        log.info("the C library keeps large blocks of freed memory")
