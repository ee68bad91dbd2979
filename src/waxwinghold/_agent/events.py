"""Parser for the server-sent events of an engine."""

import msgspec

from .._errors import TargetFailedError
from .._gateway.events import EventSplitter, EventTooLongError


class _End(msgspec.Struct):
    length: int


_END = msgspec.json.Decoder(_End)
_TOKEN = msgspec.json.Decoder(str)


class EventParser:
    """Parses the server-sent events of an engine from data pieces of any size."""

    def __init__(self):
        self._splitter = EventSplitter()

    def feed(self, data):
        """Parse the next piece of data.

        Returns:
            A pair (events, length). ``events`` are the token events that
            ``data`` completes. ``length`` is the number of events of the whole
            stream, as stated by the end event, or ``None`` before that event.

        Raises:
            TargetFailedError: An event is not valid JSON or is too large.
        """
        try:
            blocks = self._splitter.feed(data)
        except EventTooLongError as error:
            raise TargetFailedError(f"the engine sent an {error}") from error
        events = []
        for block, _ in blocks:
            kind, value = _parse_block(block.replace(b"\r\n", b"\n"))
            if kind == "end":
                return events, _decoded(value, _END).length
            if kind == "token":
                events.append(_decoded(value, _TOKEN))
        return events, None


def _parse_block(block):
    kind, data = b"", b""
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"event":
            kind = value
        elif name == b"data":
            data += value
    if not data:
        return "", None
    return kind.decode("utf-8", "replace") or "token", data


def _decoded(data, decoder):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TargetFailedError(f"the engine sent an invalid event: {error}") from error
