"""Rendezvous hashing: processes that know the same members choose the same one."""

import hashlib


def rendezvous_weight(key, name):
    """Return the rendezvous weight of ``name`` for ``key``; the highest one wins."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()
