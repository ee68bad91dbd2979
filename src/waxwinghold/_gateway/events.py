"""Splits a byte stream into server-sent events."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
EVENT_LIMIT_BYTES = 1024 * 1024  # The largest events of a model are a few KiB.
_ID_FIELD = b"id:"


class EventTooLongError(ValueError):
    """An event is longer than ``EVENT_LIMIT_BYTES``."""


class EventSplitter:
    """Buffers bytes and returns complete events with their ids."""

    def __init__(self):
        self._pending = b""

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
        while True:
            end = self._event_end()
            if end < 0:
                break
            event, self._pending = self._pending[:end], self._pending[end:]
            events.append((event, event_id(event)))
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise EventTooLongError(f"event longer than {EVENT_LIMIT_BYTES} bytes")
        return events

    def _event_end(self):
        ends = [
            position + len(terminator)
            for terminator in EVENT_ENDS
            if (position := self._pending.find(terminator)) >= 0
        ]
        return min(ends, default=-1)


def event_id(event):
    """Return the integer id of ``event``, or ``None``."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
