"""Translation between HTTP messages and the gateway's own types."""

import abc
from dataclasses import dataclass

# Hop-by-hop headers: they concern one connection and are not passed on.
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
    """A caller's request with its complete body.

    Args:
        request_id: The caller's id of this attempt.
        method: The HTTP method.
        host: The host name, without a port.
        path: Path and query as they were sent.
        headers: Headers to pass on, as ``(name, value)`` bytes.
        body: The body, as bytes.
        deadline_in_ms: How many milliseconds the caller waits; ``None`` if the
            request has no deadline.
        key: The caller's secret key; empty if there is none.
        last_event_id: Id of the last event that the caller has, to continue a
            stream after it; ``None`` for the start of the stream.
        arrived_ms: When its head was read, in milliseconds of the gateway's clock.
        shared_parts: Ids of the parts of its prompt that other requests may have too,
            in their order.
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
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AnswerMetadata:
    """The information in the headers of a target's answer.

    Args:
        request_id: Id of the request that is answered; empty if it is not given.
        executed: ``False`` if the target did not run the request.
        load: ``(running, waiting)`` counts of the target, or ``None``.
        culprit: Name of another target that caused a rejection, or an empty
            string.
        leaving: Whether the target announces that it leaves.
        pause_ms: How long in milliseconds the target that rejected the request wants
            no further ones; ``None`` if it does not say.
        limit_per_second: The requests per second that the target takes from all
            gateways together; ``None`` if it names no limit.
        has_unreadable_limit: Whether it names one that cannot be read.
    """

    request_id: str
    executed: bool
    load: tuple[int, int] | None
    culprit: str
    leaving: bool = False
    pause_ms: float | None = None
    limit_per_second: float | None = None
    has_unreadable_limit: bool = False


class MessageCodec(abc.ABC):
    """Decodes and encodes the HTTP messages of callers and targets.

    Attributes:
        request_id_field: Name of the header of answers that names the request, in
            lower case, as bytes.
        malformed_count: Headers of targets that were not valid and were ignored.
    """

    request_id_field: bytes

    def __init__(self):
        self.malformed_count = 0

    @abc.abstractmethod
    def read_request(self, *, method, raw_path, raw_headers, body, arrived_ms):
        """Return a ``CallerRequest``.

        Raises:
            BadRequestError: A header has an invalid value.
        """

    @abc.abstractmethod
    def request_bytes(
        self, call, *, target_name, customer_name, deadline_in_ms, last_event_id
    ):
        """Return the bytes of the request to a target."""

    @abc.abstractmethod
    def read_answer(self, head):
        """Return the ``AnswerMetadata`` of an ``AnswerHead``."""

    @abc.abstractmethod
    def answer_headers(self, head):
        """Return the headers for the caller, as ``(name, value)`` strings."""

    @abc.abstractmethod
    def rejection_headers(self, *, request_id, retry_after_ms):
        """Return the headers of an answer that the gateway itself gives."""
