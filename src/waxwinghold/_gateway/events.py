"""Cuts a byte stream of server-sent events at whole events."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
EVENT_LIMIT_BYTES = 1024 * 1024  # An event of the largest model answer is a few KiB.
_ID_FIELD = b"id:"


class EventTooLongError(ValueError):
    """An event that does not end within ``EVENT_LIMIT_BYTES``."""


class EventSplitter:
    """Collects bytes and hands out whole events with their ids."""

    def __init__(self):
        self._pending = b""

    @property
    def pending_bytes(self):
        """Return how many bytes wait for the end of their event."""
        return len(self._pending)

    def feed(self, data):
        """Take ``data`` in; return a list of ``(event, id)``.

        The id is ``None`` for an event without a whole-numbered one.

        Raises:
            EventTooLongError: The event under way exceeds the limit.
        """
        self._pending += data
        events = []
        while True:
            end = self._end()
            if end < 0:
                break
            event, self._pending = self._pending[:end], self._pending[end:]
            events.append((event, event_id(event)))
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise EventTooLongError(f"an event of over {EVENT_LIMIT_BYTES} bytes")
        return events

    def _end(self):
        ends = [
            found + len(mark)
            for mark in EVENT_ENDS
            if (found := self._pending.find(mark)) >= 0
        ]
        return min(ends, default=-1)


def event_id(event):
    """Return the whole-numbered id of ``event``, or ``None``."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
