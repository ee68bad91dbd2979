"""Decides whether what arrived on a connection is the answer to its request.

It handles targets that answer twice, the second time late, and that break answers off
while the connection stays open: a parser joins what follows with what came before. The
late answer may be of any age, and to a request that came on another connection or from
another gateway, so that no list of requests shows that it is one.
``tests.test_decisions_answer_origin`` replays both.
"""

import enum
import re

# Sound targets write one only where an answer begins.
STATUS_LINE_PATTERN = re.compile(rb"HTTP/\d\.\d \d{3}")
# The beginning of one at the end of a body. Shorter ones end too many sound bodies.
STATUS_LINE_BEGINNING_PATTERN = re.compile(
    rb"HTTP/(?:\d(?:\.(?:\d(?: \d{0,2})?)?)?)?\Z"
)
# A status line and the whole fields behind it. Without bounds the search would take
# time that grows with the square of a body's length.
HEAD_PATTERN = re.compile(
    STATUS_LINE_PATTERN.pattern
    + rb"[^\r\n]{0,128}\r?\n((?:[^\r\n:]{1,256}:[^\r\n]{0,8192}\r?\n){0,256})"
)
# On each side of the end of a body; heads of targets have some hundred bytes.
END_SEARCH_BYTES = 4096
# The fields of an event, in which quoted text stands behind ``data``.
EVENT_FIELDS = frozenset({b"data", b"event", b"id", b"retry", b""})


class AnswerOrigin(enum.Enum):
    """Which request of its connection an answer belongs to."""

    OWN = "the request that was sent last"
    EARLIER = "an earlier request"
    UNKNOWN = "any request"


def answer_origin(*, answer_id, request_id, requests_count):
    """Return the ``AnswerOrigin`` of an answer.

    An answer that names no request is that of the only one on its connection.

    Args:
        answer_id: Id of the request that the answer names; empty if it names none.
        request_id: Id of the request that was sent last; empty if it has none.
        requests_count: Number of requests that were sent on the connection.
    """
    if answer_id:
        return AnswerOrigin.OWN if answer_id == request_id else AnswerOrigin.EARLIER
    return AnswerOrigin.OWN if requests_count == 1 else AnswerOrigin.UNKNOWN


def has_joined_head(texts):
    """Return whether the head of an answer holds the beginning of another one.

    The status of such a head may be that of one answer, and its fields those of
    another.

    Args:
        texts: Its reason phrase and the values of its fields, as bytes.
    """
    return any(STATUS_LINE_PATTERN.search(text) for text in texts)


def may_have_joined_body(body):
    """Return whether a body may have been filled up with another answer.

    A sound body may quote answers. Whether this one does shows on a new connection, on
    which nothing can be late.

    Args:
        body: The whole body of an answer that is not the first on its connection.
    """
    return bool(
        STATUS_LINE_PATTERN.search(body) or STATUS_LINE_BEGINNING_PATTERN.search(body)
    )


def has_own_head(body, *, id_field, request_id):
    """Return whether the head of another answer to the same request stands in a body.

    Args:
        body: The whole body of an answer.
        id_field: Name of the field that names the request of an answer, in lower case.
        request_id: Id of the request; empty if it has none.
    """
    if not request_id:
        return False
    own_id = request_id.encode("latin-1", "replace")
    for head in HEAD_PATTERN.finditer(body):
        for line in head[1].splitlines():
            name, _, value = line.partition(b":")
            if name.strip().lower() == id_field and value.strip() == own_id:
                return True
    return False


def has_joined_event(event):
    """Return whether the head of another answer stands in an event of a stream.

    The lines of a text that an event quotes have the name of a field of the event.

    Args:
        event: A whole event, as bytes.
    """
    for head in HEAD_PATTERN.finditer(event):
        names = (line.partition(b":")[0] for line in head[1].splitlines())
        if any(name.strip().lower() not in EVENT_FIELDS for name in names):
            return True
    return False


def has_joined_end(body, following):
    """Return whether the head of another answer begins in a body and ends behind it.

    The last bytes of such a body are those with which the other answer began. An
    answer that begins where the body ends leaves the body whole.

    Args:
        body: The last part of a body whose length was announced.
        following: What arrived behind the body.
    """
    if not following or STATUS_LINE_PATTERN.match(following):
        return False
    end = body[-END_SEARCH_BYTES:]
    heads = HEAD_PATTERN.finditer(end + following[:END_SEARCH_BYTES])
    return any(head.start() < len(end) < head.end() for head in heads)
