"""Choice of the processes of a data centre that read from the platform."""

import hashlib


def is_reader(name, live_names, readers_count):
    """Return whether process ``name`` is among its data centre's readers.

    Rendezvous hashing over the live list needs no agreement: processes with
    different lists choose a few readers too many or too few, and one that
    knows of no other process is a reader.

    Args:
        name: The asking process.
        live_names: Live processes of its data centre, itself included or not.
        readers_count: Readers wanted.
    """
    names = {name, *live_names}
    ranked = sorted(names, key=_weight, reverse=True)
    return name in ranked[:readers_count]


def _weight(name):
    return hashlib.sha256(f"sheet-reader:{name}".encode()).digest()
