"""Counts and logs the signs that a connection to a target is out of step."""

import enum

import logbook

log = logbook.Logger("answer_doubts")


class Doubt(enum.Enum):
    """Why an answer may not be the one to the request that was sent last."""

    JOINED = "another answer begins inside it"
    UNNAMED = "it names no request, after others on its connection"
    EXTRA_BYTES = "bytes follow the end of the answer"
    HEAD_IN_BODY = "a head stands in its body, after others on its connection"


class AnswerDoubts:
    """Records doubtful answers of all connections of the process.

    Attributes:
        count: Number of doubtful answers since the start.
    """

    def __init__(self):
        self.count = 0

    def record(self, doubt, connection, **details):
        """Record a ``Doubt`` about what arrived on a ``TargetConnection``.

        Args:
            details: Further fields of the log line.
        """
        self.count += 1
        log.warn(
            "answer in doubt",
            extra={
                "address": connection.peer_name,
                "reason": doubt.value,
                "requests": connection.requests_count,
                **details,
            },
        )


answer_doubts = AnswerDoubts()
