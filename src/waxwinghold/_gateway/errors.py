"""Why a request to a target did not end in an answer: one class a cause."""

from .._errors import RequestError, WaxwingError
from .._verdict import Ran


class SendError(WaxwingError):
    """Base of the failures of one send to one target.

    Attributes:
        ran: Whether this send may have run.
        blames_target: Whether the failure speaks against the target.
    """

    code = "send_failed"
    ran = Ran.MAY_HAVE_RUN
    blames_target = True


class ConnectError(SendError):
    """No connection could be opened, so that no byte left."""

    code = "connect_failed"
    ran = Ran.NOT_RUN


class ConnectionLostError(SendError):
    """The connection ended before the answer was whole."""

    code = "connection_lost"


class MalformedAnswerError(SendError):
    """The target sent bytes that are no answer to this request."""

    code = "malformed_answer"


class SilentTargetError(SendError):
    """Nothing came within the time that the send had."""

    code = "silent_target"


class NotExecutedError(SendError):
    """The target says that it did not run the request.

    Args:
        status: The status of its answer.
        culprit: Name of another target that it blames, or an empty string.
    """

    code = "not_executed"
    ran = Ran.NOT_RUN
    blames_target = False

    def __init__(self, *, status, culprit=""):
        super().__init__(f"the target answered {status} and did not run the request")
        self.status = status
        self.culprit = culprit


class FailedAnswerError(SendError):
    """The target answered that it failed; the caller gets that answer.

    Args:
        head: The answer's ``AnswerHead``.
        body: Its whole body.
    """

    code = "failed_answer"
    ran = Ran.RAN
    blames_target = False

    def __init__(self, *, head, body):
        super().__init__(f"the target answered {head.status}")
        self.head = head
        self.body = body


class UnconfiguredError(RequestError):
    """This gateway has no configuration yet, or not one that is fresh enough."""

    code = "unconfigured"
    status = 503


class NoTargetError(RequestError):
    """No target of the service can take the request."""

    code = "no_target"
    status = 503


class NoFreeSlotError(RequestError):
    """All targets are busy, and a place would come too late."""

    code = "no_room"
    status = 503


class StoppingError(RequestError):
    """This gateway is stopping."""

    code = "stopping"
    status = 503


class AnswerLostError(RequestError):
    """The request was sent, and what became of it is not known."""

    code = "answer_lost"
    status = 502
    ran = Ran.MAY_HAVE_RUN


class TimedOutError(RequestError):
    """The deadline or the route's time-out passed after a send."""

    code = "timed_out"
    status = 504
    ran = Ran.MAY_HAVE_RUN


class CrashingRequestError(RequestError):
    """The request ended several targets and is refused for good."""

    code = "crashes_targets"
    status = 502
    ran = Ran.MAY_HAVE_RUN


class HeadersTooLargeError(RequestError):
    """The request's headers exceed the limit."""

    code = "headers_too_large"
    status = 431


class BodyTimeoutError(RequestError):
    """The body did not arrive in time."""

    code = "body_timeout"
    status = 408
