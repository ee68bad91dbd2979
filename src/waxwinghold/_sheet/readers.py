"""Choice of the processes of a data centre that read from the platform."""

import hashlib

ROTATION_VERSIONS_COUNT = 16


def is_reader(name, live_names, readers_count, *, sheet_version=0):
    """Return whether process ``name`` is among its data centre's readers.

    Rendezvous hashing over the live list needs no agreement: processes with
    different lists choose a few readers too many or too few, and one that
    knows of no other process is a reader. The choice changes with the sheet's
    version, which all processes soon agree on, so that each bears its part of
    the bytes read.

    Args:
        name: The asking process.
        live_names: Live processes of its data centre, itself included or not.
        readers_count: Readers wanted.
        sheet_version: The version in force; readers change every
            ``ROTATION_VERSIONS_COUNT`` versions.
    """
    term = sheet_version // ROTATION_VERSIONS_COUNT
    names = {name, *live_names}
    ranked = sorted(names, key=lambda item: _weight(item, term), reverse=True)
    return name in ranked[:readers_count]


def _weight(name, term):
    return hashlib.sha256(f"sheet-reader:{term}:{name}".encode()).digest()
