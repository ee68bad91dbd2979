"""The base of every message between the system's own processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """A frozen record, encoded as an array that begins with its class name.

    New fields go last and have defaults: a peer of an older version ignores
    them, and a peer of a newer version fills them in.
    """
