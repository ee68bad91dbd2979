"""Decides whether what arrived on a connection is the answer to its request.

It handles targets that answer twice, the second time late, and that break answers off
while the connection stays open: a parser joins what follows with what came before.
``tests.test_decisions_answer_origin`` replays both.
"""

import enum
import re

# Sound targets write one only where an answer begins.
STATUS_LINE_PATTERN = re.compile(rb"HTTP/\d\.\d \d{3}")


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
