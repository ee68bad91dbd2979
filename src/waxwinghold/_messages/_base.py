"""The base class of every message between the processes of waxwinghold."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """A frozen record, encoded as an array whose first element is the class name.

    The class name and the number and order of the fields are the wire format.
    New fields are added at the end and have defaults: peers of an older release
    ignore them, and messages from such peers get the defaults.
    """
