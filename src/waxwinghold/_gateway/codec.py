"""What a request and an answer say, whatever their headers are called."""

import abc
from dataclasses import dataclass

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request, read whole.

    Args:
        request_id: The caller's id of this attempt.
        path: Path and query as they were sent.
        headers: Headers to pass on, as ``(name, value)`` bytes.
        deadline_in_ms: How long the caller waits; ``None`` if it did not say.
        key: The caller's secret key; empty without one.
        last_event_id: Where a stream is to go on; ``None`` for its start.
        arrived_ms: When its head was read, on the gateway's clock.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline_in_ms: float | None
    key: str
    last_event_id: int | None
    arrived_ms: float


@dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """What a target's answer says beside its status and body.

    Args:
        request_id: Id of the request that it answers; ``None`` if it says none.
        executed: ``False`` if the target did not run the request.
        load: ``(running, waiting)`` counts of the target, or ``None``.
        culprit: Name of a target that this one blames, or an empty string.
    """

    request_id: str | None
    executed: bool
    load: tuple[int, int] | None
    culprit: str


class MessageCodec(abc.ABC):
    """Reads and writes the messages of callers and targets."""

    @abc.abstractmethod
    def read_request(self, *, method, raw_path, raw_headers, body, arrived_ms):
        """Return a ``CallerRequest``.

        Raises:
            BadRequestError: A header does not hold what it must.
        """

    @abc.abstractmethod
    def request_bytes(
        self, call, *, target_name, customer_name, deadline_in_ms, last_event_id
    ):
        """Return the whole request as it is sent to a target."""

    @abc.abstractmethod
    def read_answer(self, head):
        """Return the ``AnswerMetadata`` of an ``AnswerHead``."""

    @abc.abstractmethod
    def answer_headers(self, head):
        """Return the headers that the caller gets, as ``(name, value)`` text."""

    @abc.abstractmethod
    def rejection_headers(self, *, request_id, retry_after_ms):
        """Return the headers of an answer of our own."""
