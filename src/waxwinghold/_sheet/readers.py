"""Choice of the processes in a data centre that read from the platform."""

import hashlib

ROTATION_VERSIONS_COUNT = 16


def is_reader(name, live_names, readers_count, *, sheet_version=0):
    """Return whether process ``name`` is among its data centre's readers.

    Rendezvous hashing over the live processes needs no coordination. Processes
    with different lists may choose slightly too many or too few readers. A
    process with an empty list is always a reader. The choice rotates with the
    version of the sheet, which all processes agree on after a short time, so
    that the read traffic is spread evenly.

    Args:
        name: The name of this process.
        live_names: Live processes of its data centre, with or without ``name``.
        readers_count: Number of readers wanted.
        sheet_version: The version in force; the readers change every
            ``ROTATION_VERSIONS_COUNT`` versions.
    """
    rotation = sheet_version // ROTATION_VERSIONS_COUNT
    names = {name, *live_names}
    ranked = sorted(names, key=lambda item: _weight(item, rotation), reverse=True)
    return name in ranked[:readers_count]


def _weight(name, rotation):
    return hashlib.sha256(f"sheet-reader:{rotation}:{name}".encode()).digest()
