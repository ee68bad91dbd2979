"""Messages that carry callers' requests and their answers."""

from .._verdict import Verdict
from ._base import Message


class Submit(Message):
    """One attempt at a request.

    Fields:
        request_id: Names the request; the same for all of its attempts.
        attempt: Counts from 1 within the request.
        priority: 0 is the most urgent.
        deadline_at_ms: When the request ends, by the receiving agent's clock, so
            that a message that was long on its way is late and not young.
        key: The once-only key as issued, or ``None``.
        digest: Names the request's content; equal bodies have equal digests.
        given: Events of a streamed answer that the caller already has; the
            target continues behind them.
        suspect: Whether a target crashed as it ran this request before.
    """

    request_id: str
    attempt: int
    service: str
    version: str
    call: str
    customer: str
    priority: int
    deadline_at_ms: float
    body: bytes
    content_type: str
    digest: str
    streamed: bool = False
    key: str | None = None
    given: tuple[str, ...] = ()
    suspect: bool = False
    adapter: str = ""


class Started(Message):
    """The target is about to get the request."""

    request_id: str
    attempt: int


class Chunk(Message):
    """Consecutive events of a streamed answer.

    Fields:
        offset: The place of the first event in the whole answer.
    """

    request_id: str
    attempt: int
    offset: int
    events: tuple[str, ...]


class End(Message):
    """Closes a streamed answer.

    Fields:
        length: The number of events in the whole answer.
    """

    request_id: str
    attempt: int
    length: int


class Answer(Message):
    """A whole answer that is not streamed."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes


class Refused(Message):
    """The attempt's final word where there is no answer."""

    request_id: str
    attempt: int
    verdict: Verdict


class Cancel(Message):
    """Asks that a request be stopped; harmless when it has ended."""

    request_id: str
    customer: str


class Detach(Message):
    """Says that the caller went away; the answer is kept for a while."""

    request_id: str


class Probe(Message):
    """Asks whether the target is healthy now, before a key names it."""

    probe_id: str


class ProbeReply(Message):
    """The state of the target as checked for one ``Probe``."""

    probe_id: str
    healthy: bool
    leaving: bool


class Resume(Message):
    """Asks for a streamed answer again from ``offset`` on.

    Frames that follow carry ``attempt``, so that those of the connection
    before are told apart.
    """

    request_id: str
    attempt: int
    customer: str
    offset: int


class SuspectNotice(Message):
    """Tells other entries of requests that were running as targets crashed.

    Fields:
        digest: Names the request's content.
        crashes: Names of the target incarnations that crashed under it.
        condemned: Whether it was alone on a target that crashed.
        cleared: Whether it has since run to its end.
    """

    digest: str
    crashes: tuple[str, ...]
    condemned: bool = False
    cleared: bool = False
