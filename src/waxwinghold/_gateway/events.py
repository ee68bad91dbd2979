"""Splits a byte stream into server-sent events."""

import re

EVENT_LIMIT_BYTES = 1024 * 1024  # The largest events of a model are a few KiB.
ID_DIGITS_LIMIT_COUNT = 18  # ``int`` raises an error for some thousands of digits.
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_LIMIT_BYTES = 4
_ID_FIELD = b"id:"


class EventTooLongError(ValueError):
    """An event is longer than ``EVENT_LIMIT_BYTES``."""


class EventSplitter:
    """Buffers bytes and returns complete events with their ids.

    Each byte is searched once and moved once or twice, however the bytes arrive: a
    target may send tiny events, or tiny parts of a large one, without end.
    """

    def __init__(self):
        self._pending = bytearray()
        self._searched_bytes = 0

    @property
    def pending_bytes(self):
        """Return the number of buffered bytes of an incomplete event."""
        return len(self._pending)

    def feed(self, data):
        """Add ``data`` and return the events that it completes.

        Returns:
            A list of ``(event, id)``; the id is ``None`` if it is missing or not an
            integer.

        Raises:
            EventTooLongError: The incomplete event exceeds the limit.
        """
        self._pending += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._pending, self._searched_bytes):
            event = bytes(self._pending[start : end.end()])
            events.append((event, event_id(event)))
            start = end.end()
        del self._pending[:start]
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise EventTooLongError(f"event longer than {EVENT_LIMIT_BYTES} bytes")
        # An end that is cut begins in the last bytes.
        self._searched_bytes = max(0, len(self._pending) - _EVENT_END_LIMIT_BYTES + 1)
        return events


def event_id(event):
    """Return the integer id of ``event``, or ``None``."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= ID_DIGITS_LIMIT_COUNT
            return int(text) if is_number else None
    return None
