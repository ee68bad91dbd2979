"""Decides whether what arrived on a connection is the answer to its request.

It handles targets that answer twice, the second time late, and that break answers off
while the connection stays open: a parser joins what follows with what came before.
``tests.test_decisions_answer_origin`` replays both.
"""

import re

# Sound targets write one only where an answer begins.
STATUS_LINE_PATTERN = re.compile(rb"HTTP/\d\.\d \d{3}")


def has_joined_head(texts):
    """Return whether the head of an answer holds the beginning of another one.

    The status of such a head may be that of one answer, and its fields those of
    another.

    Args:
        texts: Its reason phrase and the values of its fields, as bytes.
    """
    return any(STATUS_LINE_PATTERN.search(text) for text in texts)
