"""Ledger of once-only keys, by which an agent runs each request at most once."""

import asyncio
import enum
import heapq
from collections import OrderedDict
from dataclasses import dataclass, field

from .._errors import KeyExpiredError, KeyMismatchError, OverloadedError, WaxwingError
from .._verdict import Ran, Verdict

# Size of the Python objects of one record, without its strings and its answer.
RECORD_OVERHEAD_BYTES = 1024
ANSWER_LIMIT_BYTES = 256 * 1024
# Interval at which an expired record is checked again until its request has ended.
RECHECK_INTERVAL_MS = 1000


class LedgerOrderError(WaxwingError):
    """Raised when a key's state forbids an operation; a bug in the calling code."""

    code = "ledger_order"

    def __init__(self, *, key_id, operation, state):
        super().__init__(f'key "{key_id}": cannot {operation} in state "{state}"')


class State(enum.StrEnum):
    """The state of a key; ``UNKNOWN`` means started, but without an answer."""

    ACCEPTED = "accepted"
    STARTED = "started"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Action(enum.StrEnum):
    """What the agent should do with a request that carries a key."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """A target's answer, returned to every caller that sends the key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Decision:
    """The ledger's decision about a request.

    Args:
        action: What to do with the request.
        answer: The recorded answer, for ``REPLAY``.
        verdict: The recorded verdict, for ``REFUSE``.
    """

    action: Action
    answer: RecordedAnswer | None = None
    verdict: Verdict | None = None


@dataclass(kw_only=True)
class _Record:
    digest: str
    expiry_ms: int
    size_bytes: int
    state: State = State.ACCEPTED
    answer: RecordedAnswer | None = None
    verdict: Verdict | None = None
    waiters: list = field(default_factory=list)

    def decision(self):
        if self.answer is not None:
            return Decision(action=Action.REPLAY, answer=self.answer)
        if self.verdict is not None:
            return Decision(action=Action.REFUSE, verdict=self.verdict)
        return Decision(action=Action.WAIT)


_NOT_KEPT = Verdict(
    ran=Ran.RAN,
    code="answer_not_kept",
    reason="the request ran; its answer was too large to be kept",
)


class Ledger:
    """Decides for each key whether its request may run, at most once.

    A record is kept at least until its key expires, and a key without a record
    runs only before it expires. A key whose record was dropped therefore never
    runs again. The current time is the highest wall time seen so far.

    When memory runs out, answers are dropped first, the oldest ones first. If
    that is not enough, new keys are rejected as not run. Rejected keys get no
    record. Only the latest expiry among them is kept, and any key without a
    record that expires no later than that is rejected too.

    Args:
        clock: The agent's clock, whose wall time is not set while it runs.
        limit_bytes: Memory limit for all records.
        answer_limit_bytes: Size of the largest answer that is kept.

    Attributes:
        used_bytes: Estimated memory of all records.
    """

    def __init__(self, *, clock, limit_bytes, answer_limit_bytes=ANSWER_LIMIT_BYTES):
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._answer_limit_bytes = answer_limit_bytes
        self._records = {}
        self._expiries = []
        self._answers = OrderedDict()
        self._answers_bytes = 0
        self._latest_ms = 0
        self._rejected_expiry_ms = 0
        self.used_bytes = 0

    def __len__(self):
        return len(self._records)

    def now_ms(self):
        """Return the highest wall time seen so far, by which keys expire."""
        self._latest_ms = max(self._latest_ms, self._clock.wall_ms())
        return self._latest_ms

    def begin(self, *, key_id, digest, expiry_ms):
        """Return the ``Decision`` for a request; ``RUN`` only once for each key.

        Args:
            key_id: Identifies the key.
            digest: Digest of the request's content.
            expiry_ms: Wall time at which the key expires, as issued.

        Raises:
            KeyExpiredError: The key has expired and has no record.
            KeyMismatchError: The key was used with different content.
            OverloadedError: There is no memory for the key; it will not run.
        """
        now_ms = self.now_ms()
        self._drop_expired(now_ms)
        record = self._records.get(key_id)
        if record is not None:
            if record.digest != digest:
                raise KeyMismatchError(what="request")
            return record.decision()
        if expiry_ms <= now_ms:
            raise KeyExpiredError()
        self._add(key_id, digest, expiry_ms)
        return Decision(action=Action.RUN)

    def start(self, key_id):
        """Record that the request is about to be sent to the target.

        Raises:
            LedgerOrderError: The key was rejected, or started before.
        """
        record = self._records.get(key_id)
        state = record.state if record else "absent"
        if state != State.ACCEPTED:
            raise LedgerOrderError(key_id=key_id, operation="start", state=state)
        record.state = State.STARTED

    def withdraw(self, key_id):
        """Record that the target did not run a started request, by its own promise."""
        record = self._records.get(key_id)
        if record is not None and record.state == State.STARTED:
            record.state = State.ACCEPTED

    def finish(self, key_id, answer):
        """Record the target's answer, even if the outcome was unknown before.

        Raises:
            LedgerOrderError: The request was never started.
        """
        record = self._records.get(key_id)
        if record is None or record.state == State.ANSWERED:
            # The record of an unknown outcome may expire before the answer comes.
            return
        if record.state not in (State.STARTED, State.UNKNOWN):
            raise LedgerOrderError(
                key_id=key_id, operation="finish", state=record.state
            )
        record.state = State.ANSWERED
        self._keep_answer(key_id, record, answer)
        self._notify_waiters(record, Decision(action=Action.REPLAY, answer=answer))

    def reject(self, key_id, verdict):
        """Record that a request gets no answer, and return the ``Decision``.

        The calling code must report the returned decision rather than
        ``verdict``. If the request was started, "not run" becomes "may have
        run"; if it has already ended, its outcome stays.
        """
        record = self._records.get(key_id)
        if record is None:
            uncertain = verdict.combined_with(Ran.MAY_HAVE_RUN)
            return Decision(action=Action.REFUSE, verdict=uncertain)
        if record.state == State.ACCEPTED:
            record.state = State.REFUSED
            record.verdict = verdict
        elif record.state == State.STARTED:
            record.state = State.UNKNOWN
            record.verdict = verdict.combined_with(Ran.MAY_HAVE_RUN)
        decision = record.decision()
        self._notify_waiters(record, decision)
        return decision

    async def wait(self, key_id):
        """Wait until a request in progress ends, and return its ``Decision``.

        Raises:
            LedgerOrderError: The key has no record.
        """
        record = self._records.get(key_id)
        if record is None:
            raise LedgerOrderError(key_id=key_id, operation="wait", state="absent")
        decision = record.decision()
        if decision.action != Action.WAIT:
            return decision
        waiter = asyncio.get_running_loop().create_future()
        record.waiters.append(waiter)
        try:
            return await waiter
        finally:
            if waiter in record.waiters:
                record.waiters.remove(waiter)

    def _notify_waiters(self, record, decision):
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(decision)

    def _add(self, key_id, digest, expiry_ms):
        size_bytes = RECORD_OVERHEAD_BYTES + len(key_id) + len(digest)
        if expiry_ms <= self._rejected_expiry_ms or not self._make_room(size_bytes):
            self._rejected_expiry_ms = max(self._rejected_expiry_ms, expiry_ms)
            raise OverloadedError("no memory for another key at this target")
        self._records[key_id] = _Record(
            digest=digest, expiry_ms=expiry_ms, size_bytes=size_bytes
        )
        self.used_bytes += size_bytes
        heapq.heappush(self._expiries, (expiry_ms, key_id))

    def _keep_answer(self, key_id, record, answer):
        answer_bytes = len(answer.body) + len(answer.content_type)
        if answer_bytes > self._answer_limit_bytes or not self._make_room(answer_bytes):
            record.verdict = _NOT_KEPT
            return
        record.answer = answer
        record.size_bytes += answer_bytes
        self.used_bytes += answer_bytes
        self._answers[key_id] = answer_bytes
        self._answers_bytes += answer_bytes

    def _make_room(self, size_bytes):
        """Drop old answers to make room, and return whether ``size_bytes`` fit."""
        if self.used_bytes - self._answers_bytes + size_bytes > self._limit_bytes:
            return False
        while self.used_bytes + size_bytes > self._limit_bytes:
            key_id, answer_bytes = self._answers.popitem(last=False)
            self._answers_bytes -= answer_bytes
            record = self._records[key_id]
            record.answer = None
            record.verdict = _NOT_KEPT
            record.size_bytes -= answer_bytes
            self.used_bytes -= answer_bytes
        return True

    def _drop_expired(self, now_ms):
        while self._expiries and self._expiries[0][0] <= now_ms:
            key_id = heapq.heappop(self._expiries)[1]
            record = self._records[key_id]
            if record.state in (State.ACCEPTED, State.STARTED):
                heapq.heappush(self._expiries, (now_ms + RECHECK_INTERVAL_MS, key_id))
                continue
            self._answers_bytes -= self._answers.pop(key_id, 0)
            self.used_bytes -= record.size_bytes
            del self._records[key_id]
