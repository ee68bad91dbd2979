"""Runs queued requests on the target, as many at once as it has slots."""

import asyncio

import logbook
import msgspec

from .._errors import (
    CancelledError,
    DeadlineError,
    RequestError,
    TargetFailedError,
    TargetPausedError,
)
from .._sheet.model import Kind
from .ledger import RecordedAnswer
from .target import PlainAnswer
from .work import Phase

log = logbook.Logger("agent")

TICK_INTERVAL_MS = 50


class Runner:
    """Takes requests from the queue and runs each in its own task.

    A suspect request, whose last target crashed, runs alone: it starts
    once no request runs, and no other request starts until it has ended, so that
    another crash affects no others.

    Args:
        queue: The queue of waiting requests.
        ledger: The ledger of once-only keys.
        client: The ``TargetClient``.
        monitor: The ``TargetMonitor``, which is marked as unhealthy as soon as
            a request shows that the target crashed.
        metrics: The process's ``Metrics``.
        slots_count: Returns how many requests may run at once.
        kind: Returns the target's ``Kind``.
        check_target: Raises a ``RequestError`` if the target may not get a request.

    Attributes:
        queue_wait_ms: How long the most recently started request was queued.
    """

    def __init__(
        self,
        *,
        clock,
        queue,
        ledger,
        client,
        monitor,
        metrics,
        slots_count,
        kind,
        check_target=lambda: None,
    ):
        self._clock = clock
        self._queue = queue
        self._ledger = ledger
        self._client = client
        self._monitor = monitor
        self._metrics = metrics
        self._slots_count = slots_count
        self._kind = kind
        self._check_target = check_target
        self._running = set()
        self._delayed_suspect = None
        self._is_exclusive = False
        self._wake = asyncio.Event()
        self.queue_wait_ms = 0.0

    @property
    def running_count(self):
        """The number of requests that the target runs."""
        return len(self._running)

    def wake(self):
        """Make ``run`` check the queue again at once."""
        self._wake.set()

    async def run(self):
        """Start requests as slots become free, until cancelled."""
        while True:
            await self._await_work()
            self._reject_expired()
            self._start_requests()

    async def _await_work(self):
        """Wait for ``wake``, but only for one tick while requests are queued."""
        has_waiting = len(self._queue) or self._delayed_suspect is not None
        limit_s = TICK_INTERVAL_MS / 1000 if has_waiting else None
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def reject(self, work, verdict):
        """End ``work`` without an answer; the ledger's verdict takes precedence."""
        if work.key is not None:
            decision = self._ledger.reject(work.key.nonce, verdict)
            verdict = decision.verdict or verdict
        self._metrics.count("refusals", label=verdict.code)
        work.end_with_verdict(verdict, now_ms=self._clock.now_ms())

    def reject_queued(self, error):
        """Reject waiting requests as not run, so that other targets can run them."""
        while (item := self._queue.take(self._clock.now_ms())) is not None:
            self.reject(item.payload, error.verdict())

    def cancel(self, work):
        """Stop ``work``; if it has started, it may have run."""
        if work.phase == Phase.ENDED:
            return
        work.cancel_error = CancelledError("the caller cancelled the request")
        if work.phase == Phase.WAITING:
            self._queue.remove(work.request_id)
            self._drop_delayed_suspect(work)
            error = CancelledError("the caller cancelled the request before it started")
            error.ran = error.ran.NOT_RUN
            self.reject(work, error.verdict())
        elif work.task is not None:
            work.task.cancel()

    def _drop_delayed_suspect(self, work):
        """Let other requests start if ``work`` waits for the target to be idle."""
        if work is self._delayed_suspect:
            self._delayed_suspect = None
            self.wake()

    def _reject_expired(self):
        suspect = self._delayed_suspect
        if suspect is not None:
            if self._clock.wall_ms() >= suspect.submit.deadline_at_ms:
                self._drop_delayed_suspect(suspect)
                error = DeadlineError("the deadline passed before the target was idle")
                self.reject(suspect, error.verdict())
        for item in self._queue.expired(self._clock.now_ms()):
            error = DeadlineError("the deadline passed in the queue")
            self.reject(item.payload, error.verdict())

    def _start_requests(self):
        while not self._is_exclusive and self._has_free_slot():
            work = self._next_work()
            if work is None:
                return
            if work.submit.suspect and self._running:
                self._delayed_suspect = work
                return
            self._start(work)

    def _has_free_slot(self):
        if self._delayed_suspect is not None:
            return not self._running
        return len(self._running) < self._slots_count()

    def _next_work(self):
        if self._delayed_suspect is not None:
            work, self._delayed_suspect = self._delayed_suspect, None
            return work
        item = self._queue.take(self._clock.now_ms())
        return item.payload if item else None

    def _start(self, work):
        if work.phase == Phase.ENDED:
            return
        self.queue_wait_ms = self._clock.now_ms() - work.arrived_ms
        self._metrics.record_ms("queue_wait", self.queue_wait_ms)
        self._is_exclusive = work.submit.suspect
        self._running.add(work)
        work.task = asyncio.create_task(self._run(work))
        work.task.add_done_callback(lambda task: self._on_ended(work))

    def _on_ended(self, work):
        self._running.discard(work)
        self._is_exclusive = False
        self.wake()

    async def _run(self, work):
        try:
            # Last check before the target gets the request: this process may
            # have been paused since the request left the queue.
            self._check_deadline(work)
            self._check_target()
            if work.key is not None:
                self._ledger.start(work.key.nonce)
            work.start()
            await self._run_until_deadline(work)
        except RequestError as error:
            self._record_failure(error)
            if isinstance(error, TargetPausedError) and work.key is not None:
                self._ledger.withdraw(work.key.nonce)
            self.reject(work, error.verdict())
        except asyncio.CancelledError:
            await self._client.cancel(work.request_id)
            error = work.cancel_error or TargetFailedError("the agent is stopping")
            self.reject(work, error.verdict())
        except Exception:
            log.exception('request "{}" failed', work.request_id)
            error = TargetFailedError("the agent failed")
            self.reject(work, error.verdict())

    def _check_deadline(self, work):
        if self._clock.wall_ms() >= work.submit.deadline_at_ms:
            raise DeadlineError("the deadline passed before the request started")

    async def _run_until_deadline(self, work):
        left_ms = work.submit.deadline_at_ms - self._clock.wall_ms()
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._run_on_target(work)
        except TimeoutError:
            if self._kind() == Kind.MODEL:
                await self._client.cancel(work.request_id)
            raise DeadlineError(
                "the deadline passed while the request ran",
                ran=TargetFailedError.ran,
            ) from None

    async def _run_on_target(self, work):
        if self._kind() == Kind.PLAIN:
            answer = await self._client.call(work.submit)
        else:
            async for events in self._client.generate(work.submit):
                work.add_events(events)
            if work.submit.streamed:
                work.end_stream(now_ms=self._clock.now_ms())
                return
            answer = _join_events(work.events)
        self._record_answer(work, answer)
        work.end_with_answer(answer, now_ms=self._clock.now_ms())

    def _record_answer(self, work, answer):
        if work.key is None:
            return
        recorded = RecordedAnswer(
            status=answer.status, content_type=answer.content_type, body=answer.body
        )
        self._ledger.finish(work.key.nonce, recorded)

    def _record_failure(self, error):
        if error.code in ("target_crashed", "target_refused"):
            self._monitor.healthy = False


def _join_events(events):
    body = msgspec.json.encode({"text": "".join(events)})
    return PlainAnswer(status=200, content_type="application/json", body=body)
