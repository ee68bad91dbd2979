"""Messages that carry callers' requests and their answers."""

from .._verdict import Verdict
from ._base import Message


class Submit(Message):
    """One attempt to run a request.

    Fields:
        request_id: Identifies the request; the same for all of its attempts.
        attempt: The number of the attempt, from 1.
        service: The service's name.
        version: The version to run.
        call: The call's name.
        customer: The customer's name.
        priority: From 0, the most urgent, to 9, the least urgent.
        deadline_at_ms: When the request ends, by the clock of the receiving agent.
            An absolute time lets the agent detect a message that was delayed on
            the network.
        body: The request's body.
        content_type: The media type of the body.
        digest: Digest of the request's content; equal for equal content.
        streamed: Whether the answer is a stream of events.
        key: The once-only key as issued, or ``None``.
        given: Events of a streamed answer that the caller already has; the target
            continues after them.
        suspect: Whether a target crashed while it ran this request before.
        adapter: The adapter to use; empty for none.
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
    """Sent when the agent is about to send the request to the target."""

    request_id: str
    attempt: int


class Chunk(Message):
    """Consecutive events of a streamed answer.

    Fields:
        request_id: The request's identifier.
        attempt: The number of the attempt.
        offset: The position of the first event in the whole answer.
        events: The events.
    """

    request_id: str
    attempt: int
    offset: int
    events: tuple[str, ...]


class End(Message):
    """Ends a streamed answer.

    Fields:
        request_id: The request's identifier.
        attempt: The number of the attempt.
        length: The number of events in the whole answer.
    """

    request_id: str
    attempt: int
    length: int


class Answer(Message):
    """A complete answer that is not streamed."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes


class Refused(Message):
    """The verdict on an attempt that got no answer."""

    request_id: str
    attempt: int
    verdict: Verdict


class Cancel(Message):
    """Asks to stop a request; has no effect if it has ended."""

    request_id: str
    customer: str


class Detach(Message):
    """Reports that the caller disconnected; the agent keeps the answer for a time."""

    request_id: str


class Probe(Message):
    """Asks whether the target is healthy now, before a key is issued for it."""

    probe_id: str


class ProbeReply(Message):
    """The state of the target, checked after the ``Probe`` arrived."""

    probe_id: str
    healthy: bool
    leaving: bool


class Resume(Message):
    """Asks for a streamed answer again, starting at ``offset``.

    The frames that follow contain ``attempt``, which distinguishes them from
    frames of the previous connection.
    """

    request_id: str
    attempt: int
    customer: str
    offset: int


class SuspectNotice(Message):
    """Tells other entries about a request that was running when targets crashed.

    Fields:
        digest: Digest of the request's content.
        crashes: Names of the target incarnations that crashed while they ran it.
        condemned: Whether it was the only request on a target that crashed.
        cleared: Whether it has since completed.
    """

    digest: str
    crashes: tuple[str, ...]
    condemned: bool = False
    cleared: bool = False


class LostRequestsNotice(Message):
    """Tells other entries of crashed targets, by the parts of the lost prompts.

    Fields:
        lost: One tuple for each lost request: the target incarnation, the digest of the
            request, those of its prompt's shared parts, whether the target had begun to
            answer, and the age of the loss in milliseconds.
        cleared: Age in milliseconds of the last answer, by the digest of the part or
            request that was answered.
    """

    lost: tuple[tuple[str, bytes, tuple[bytes, ...], bool, int], ...]
    cleared: tuple[tuple[bytes, int], ...] = ()
