"""The platform's HTTP headers in requests of callers and answers of workers."""

import logbook

from .._decisions.request_limits import read_limit
from .._errors import BadRequestError
from .._gateway.codec import HOP_HEADERS, AnswerMetadata, CallerRequest, MessageCodec

log = logbook.Logger("codec")

MS_PER_SECOND = 1000
NUMBER_DIGITS_LIMIT_COUNT = 18  # Of an event's id; Python refuses to read thousands.
REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"deadline-ms"
LAST_EVENT_ID = b"last-event-id"
KEY = b"credential"
CUSTOMER = b"tenant"
EXPECTED_TARGET = b"expect-instance"
NOT_EXECUTED = b"not-executed"
CULPRIT = b"at-server"
LOAD = b"server-load"
PROMPT_PARTS = b"prompt-prefix"
SHARED_PARTS_LIMIT_COUNT = 16  # Callers send two or three.
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT = b"server-limit"
MISDIRECTED = 421
UNAVAILABLE = 503
# Never passed on from the caller: the gateway sets these headers itself, except the
# key, which workers do not get.
OWN_HEADERS = frozenset(
    {KEY, CUSTOMER, EXPECTED_TARGET, DEADLINE_MS, LAST_EVENT_ID, b"content-length"}
)


class PlatformCodec(MessageCodec):
    """Translates messages from and to the platform's header names."""

    request_id_field = REQUEST_ID

    def read_request(self, *, method, raw_path, raw_headers, body, arrived_ms):
        values = {name.lower(): value for name, value in raw_headers}
        dropped = HOP_HEADERS | OWN_HEADERS | _named_by_connection(values)
        return CallerRequest(
            request_id=_text(values.get(REQUEST_ID)),
            method=method,
            host=_text(values.get(b"host")).partition(":")[0],
            path=raw_path,
            headers=tuple(
                (name, value)
                for name, value in raw_headers
                if name.lower() not in dropped
            ),
            body=body,
            deadline_in_ms=_milliseconds(values, DEADLINE_MS),
            key=_text(values.get(KEY)),
            last_event_id=_whole_number(values, LAST_EVENT_ID),
            arrived_ms=arrived_ms,
            shared_parts=_shared_parts(values),
        )

    def request_bytes(
        self, call, *, target_name, customer_name, deadline_in_ms, last_event_id
    ):
        lines = [f"{call.method} {call.path} HTTP/1.1".encode("latin-1", "replace")]
        lines.extend(name + b": " + value for name, value in call.headers)
        lines.append(b"Expect-Instance: " + target_name.encode())
        lines.append(b"Deadline-Ms: %d" % max(0, int(deadline_in_ms)))
        if customer_name:
            lines.append(b"Tenant: " + customer_name.encode())
        if last_event_id is not None:
            lines.append(b"Last-Event-Id: %d" % last_event_id)
        if call.body or call.method not in ("GET", "HEAD"):
            lines.append(b"Content-Length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def read_answer(self, head):
        if (head.get(LEAVING) or "").strip() not in ("", "0", "1"):
            self._record_malformed(LEAVING, head)
        is_rejected = head.status == MISDIRECTED or head.get(NOT_EXECUTED) is not None
        limit_per_second, has_unreadable_limit = self._limit(head)
        return AnswerMetadata(
            request_id=(head.get(REQUEST_ID) or "").strip(),
            executed=not is_rejected,
            load=_load(head.get(LOAD)),
            culprit=head.get(CULPRIT) or "",
            leaving=announces_leaving(head),
            pause_ms=self._pause_ms(head),
            limit_per_second=limit_per_second,
            has_unreadable_limit=has_unreadable_limit,
        )

    def _limit(self, head):
        """Return the requests per second that a worker takes, and if it is unreadable.

        Returns:
            ``None`` in place of the number if there is none.
        """
        text = head.get(LIMIT)
        if text is None:
            return None, False
        try:
            return read_limit(text), False
        except ValueError:
            self._record_malformed(LIMIT, head)
            return None, True

    def _pause_ms(self, head):
        """Return the pause that a worker asks for with a 503 in ms, or ``None``."""
        text = head.get(RETRY_AFTER)
        if head.status != UNAVAILABLE or text is None:
            return None
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds < float("inf"):
            self._record_malformed(RETRY_AFTER, head)
            return None
        return seconds * MS_PER_SECOND

    def _record_malformed(self, name, head):
        self.malformed_count += 1
        details = {"header": name.decode(), "value": head.get(name)[:40]}
        log.warn("malformed header of a worker", extra=details)

    def answer_headers(self, head):
        dropped = HOP_HEADERS | {b"content-length", LOAD}
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
            if name not in dropped
        ]

    def rejection_headers(self, *, request_id, retry_after_ms):
        headers = []
        if request_id:
            headers.append(("Attempt-Id", request_id))
        if retry_after_ms is not None:
            seconds = max(0.0, retry_after_ms) / MS_PER_SECOND
            headers.append(("Retry-After", f"{seconds:.3f}"))
        return headers


def announces_leaving(head):
    """Return whether a worker's answer announces that the worker leaves."""
    return (head.get(LEAVING) or "").strip() == "1"


def _named_by_connection(values):
    """Return the headers that the caller's ``Connection`` header names."""
    names = values.get(b"connection", b"").split(b",")
    return frozenset(name.strip().lower() for name in names)


def _text(value):
    return value.decode("latin-1").strip() if value else ""


def _milliseconds(values, name):
    """Return the time in ms in a header, or ``None`` if it is missing."""
    text = _text(values.get(name))
    if not text:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise BadRequestError(f'header "{name.decode()}" is "{text}", not a time in ms')
    return number


def _whole_number(values, name):
    """Return the whole number in a header, or ``None`` if it is missing."""
    text = _text(values.get(name))
    if not text:
        return None
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > NUMBER_DIGITS_LIMIT_COUNT:
        raise BadRequestError(
            f'header "{name.decode()}" is "{text[:40]}", not a whole number'
        )
    return int(text)


def _shared_parts(values):
    """Return the ids of all prompt parts but the last, which is the request's own."""
    entries = _text(values.get(PROMPT_PARTS)).split(",")[:-1]
    names = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(name for name in names if name)[:SHARED_PARTS_LIMIT_COUNT]


def _load(text):
    """Return ``(running, waiting)`` of a load header, or ``None`` if not valid."""
    if text is None:
        return None
    parts = text.split(",")
    try:
        load = int(parts[0]), int(parts[1])
        if min(load) >= 0:
            return load
    except (ValueError, IndexError):
        pass
    log.warn("malformed load header", extra={"value": text[:40]})
    return None
