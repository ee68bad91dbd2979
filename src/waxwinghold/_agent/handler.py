"""Handles the messages that an agent receives over its links."""

import asyncio

import logbook

from .._errors import (
    DeadlineError,
    DrainingError,
    KeyMismatchError,
    KeyOwnerLostError,
    MalformedKeyError,
    NoTargetError,
    OverloadedError,
    RequestError,
    UnknownRequestError,
)
from .._keys import BadTokenError, OnceKey
from .._messages import (
    Answer,
    Cancel,
    Detach,
    Probe,
    ProbeReply,
    Refused,
    Resume,
    SheetDelta,
    SheetFull,
    Submit,
)
from .._sheet.model import Kind
from .ledger import Action
from .queueing import QueuedRequest
from .work import Phase, Work

log = logbook.Logger("agent")

ENTRY_MESSAGES = Submit | Cancel | Resume | Detach | Probe | SheetFull | SheetDelta
ENTRY_ROLE = "entry"
AGENT_ROLE = "agent"
HOUSEKEEPING_INTERVAL_MS = 500
DETACHED_LIMIT_MS = 10_000


class AgentHandler:
    """Admits requests, applies once-only keys, and keeps answers for a resume.

    Args:
        process: The ``AgentProcess``, with settings, sheet, ledger, queue and
            runner.
    """

    def __init__(self, *, process):
        self._process = process
        self._clock = process.clock
        self._work_by_id = {}
        self._tasks = set()

    def on_connected(self, connection):
        """Record which sheet a new peer has."""
        hello = connection.hello
        self._record_sheet(connection, hello.sheet_version, hello.sheet_digest)

    def on_heartbeat(self, connection, heartbeat):
        """Record which sheet a peer has."""
        self._record_sheet(connection, heartbeat.sheet_version, heartbeat.sheet_digest)

    def on_leaving(self, connection, message):
        """Log that an entry is leaving; its requests continue."""
        log.info('entry "{}" is leaving: {}', message.name, message.reason)

    def on_disconnected(self, connection):
        """Stop sending to a peer that has disconnected."""
        self._process.remove_peer(connection)
        for work in self._work_by_id.values():
            work.unfollow(connection, now_ms=self._clock.now_ms())

    async def on_message(self, connection, message):
        """Handle a message from an entry, another agent or an operator."""
        role = connection.key.role
        if role == ENTRY_ROLE:
            self._on_entry_message(connection, message)
        elif isinstance(message, ENTRY_MESSAGES):
            self._process.server.refused_count += 1
            log.warn('"{}" sent a message that only entries send', connection.name)
        elif role == AGENT_ROLE:
            self._process.group.dispatch(connection.name, message)
        else:
            self._process.on_operator_message(connection, message)

    def _on_entry_message(self, connection, message):
        if isinstance(message, Submit):
            self._submit(connection, message)
        elif isinstance(message, Cancel):
            self._cancel(message)
        elif isinstance(message, Resume):
            self._resume(connection, message)
        elif isinstance(message, Detach):
            self._detach(connection, message)
        elif isinstance(message, Probe):
            self._spawn(self._probe(connection, message))
        elif isinstance(message, SheetFull | SheetDelta):
            self._process.on_sheet_message(connection, message)
        else:
            self._process.on_operator_message(connection, message)

    async def housekeep(self):
        """Drop old answers and cancel model requests that no connection follows."""
        while True:
            await self._clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for work in list(self._work_by_id.values()):
                self._housekeep(work, now_ms)

    @property
    def unfinished_count(self):
        """The number of requests that wait or run."""
        return sum(work.phase != Phase.ENDED for work in self._work_by_id.values())

    def _record_sheet(self, connection, version, digest):
        if connection.key.role == ENTRY_ROLE:
            self._process.update_peer_sheet(connection, version, digest)
            self._process.record_entry_contact()

    def _housekeep(self, work, now_ms):
        if work.phase == Phase.ENDED:
            retention_ms = self._process.settings.answer_retention_ms
            if now_ms - work.ended_ms < retention_ms:
                return
            work.drop_answer()
            # The record stays until the deadline, as a late copy of the ``Submit``
            # message may arrive and must not run.
            if self._clock.wall_ms() >= work.submit.deadline_at_ms:
                del self._work_by_id[work.request_id]
        elif work.detached_ms is not None and self._process.kind() == Kind.MODEL:
            if now_ms - work.detached_ms > DETACHED_LIMIT_MS:
                self._process.runner.cancel(work)

    def _submit(self, connection, submit):
        work = self._work_by_id.get(submit.request_id)
        if work is not None:
            if work.submit.customer == submit.customer:
                work.follow(
                    connection, attempt=submit.attempt, offset=len(submit.given)
                )
            return
        try:
            self._admit(connection, submit)
        except RequestError as error:
            self._reject(connection, submit, error)

    def _admit(self, connection, submit):
        key = self._read_key(submit)
        if key is not None and self._answer_from_ledger(connection, submit, key):
            return
        work = Work(submit=submit, key=key, arrived_ms=self._clock.now_ms())
        self._work_by_id[submit.request_id] = work
        work.follow(connection, attempt=submit.attempt, offset=len(submit.given))
        try:
            self._check_admission(submit)
            self._enqueue(work)
        except RequestError as error:
            self._process.runner.reject(work, error.verdict())

    def _check_admission(self, submit):
        if self._process.leaving:
            raise DrainingError("the target is leaving")
        self._process.announcements.check()
        target = self._process.target
        wanted = (submit.service, submit.version)
        if target is None or (target.service, target.version) != wanted:
            raise NoTargetError(service=submit.service, version=submit.version)
        if not self._process.reconciler.ready:
            raise NoTargetError(service=submit.service, version=submit.version)
        if self._clock.wall_ms() >= submit.deadline_at_ms:
            raise DeadlineError("the deadline passed on the way to the target")
        self._process.announcements.take_permit()

    def _enqueue(self, work):
        submit = work.submit
        left_ms = submit.deadline_at_ms - self._clock.wall_ms()
        now_ms = self._clock.now_ms()
        item = QueuedRequest(
            request_id=submit.request_id,
            customer=submit.customer,
            deadline_ms=now_ms + left_ms,
            queued_ms=now_ms,
            priority=submit.priority,
            share=self._process.share_of(submit.customer),
            payload=work,
        )
        evicted = self._process.queue.put(item)
        if evicted is not None:
            error = OverloadedError("requests of other customers take precedence")
            self._process.runner.reject(evicted.payload, error.verdict())
        self._process.runner.wake()

    def _read_key(self, submit):
        if submit.key is None:
            return None
        try:
            key = self._process.token_signer.read(submit.key, OnceKey)
        except BadTokenError as error:
            raise MalformedKeyError(service=submit.service) from error
        if key.customer != submit.customer:
            raise KeyMismatchError(what="customer")
        if (key.service, key.version) != (submit.service, submit.version):
            raise KeyMismatchError(what="service")
        if key.incarnation != self._process.incarnation:
            raise KeyOwnerLostError(target=key.target)
        return key

    def _answer_from_ledger(self, connection, submit, key):
        """Answer a request whose key was used before.

        Returns:
            Whether the key was used before; otherwise the request may run.
        """
        decision = self._process.ledger.begin(
            key_id=key.nonce, digest=submit.digest, expiry_ms=key.expiry_ms
        )
        if decision.action == Action.RUN:
            return False
        if decision.action == Action.WAIT:
            self._spawn(self._await_key(connection, submit, key))
        else:
            _send_decision(connection, submit, decision)
        return True

    async def _await_key(self, connection, submit, key):
        left_ms = submit.deadline_at_ms - self._clock.wall_ms()
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                decision = await self._process.ledger.wait(key.nonce)
        except TimeoutError:
            # The entry answers its caller; the first attempt continues.
            return
        _send_decision(connection, submit, decision)

    def _reject(self, connection, submit, error):
        connection.send(
            Refused(
                request_id=submit.request_id,
                attempt=submit.attempt,
                verdict=error.verdict(),
            )
        )

    def _cancel(self, cancel):
        work = self._work_by_id.get(cancel.request_id)
        if work is not None and work.submit.customer == cancel.customer:
            self._process.runner.cancel(work)

    def _resume(self, connection, resume):
        work = self._work_by_id.get(resume.request_id)
        dropped = work is not None and work.phase == Phase.ENDED and not work.events
        if work is None or dropped or work.submit.customer != resume.customer:
            error = UnknownRequestError("the target does not hold this request")
            self._reject(connection, resume, error)
            return
        work.follow(connection, attempt=resume.attempt, offset=resume.offset)

    def _detach(self, connection, detach):
        work = self._work_by_id.get(detach.request_id)
        if work is not None:
            work.unfollow(connection, now_ms=self._clock.now_ms())

    async def _probe(self, connection, probe):
        healthy = await self._process.monitor.check()
        announcements = self._process.announcements
        connection.send(
            ProbeReply(
                probe_id=probe.probe_id,
                healthy=healthy and not announcements.pause_left_ms,
                leaving=self._process.leaving or announcements.is_leaving,
            )
        )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _send_decision(connection, submit, decision):
    if decision.answer is not None:
        message = Answer(
            request_id=submit.request_id,
            attempt=submit.attempt,
            status=decision.answer.status,
            content_type=decision.answer.content_type,
            body=decision.answer.body,
        )
    else:
        message = Refused(
            request_id=submit.request_id,
            attempt=submit.attempt,
            verdict=decision.verdict,
        )
    connection.send(message)
