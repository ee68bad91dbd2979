"""Handles the messages that reach an agent over its links."""

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
    """Admits requests, follows keys, and keeps what callers may come back for.

    Args:
        process: The ``AgentProcess``: settings, sheet, ledger, queue, runner.
    """

    def __init__(self, *, process):
        self._process = process
        self._clock = process.clock
        self._works = {}
        self._tasks = set()

    def on_connected(self, connection):
        """Take in which sheet a new peer holds."""
        hello = connection.hello
        self._heard(connection, hello.sheet_version, hello.sheet_digest)

    def on_heartbeat(self, connection, heartbeat):
        """Take in which sheet a peer holds."""
        self._heard(connection, heartbeat.sheet_version, heartbeat.sheet_digest)

    def on_leaving(self, connection, message):
        """Note that an entry leaves; its requests go on."""
        log.info('entry "{}" is leaving: {}', message.name, message.reason)

    def on_disconnected(self, connection):
        """Stop sending to a peer whose connection is gone."""
        self._process.remove_peer(connection)
        for work in self._works.values():
            work.unfollow(connection, now_ms=self._clock.now_ms())

    async def on_message(self, connection, message):
        """Handle one message of an entry, another agent or an operator."""
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
        """Forget old answers and stop what no caller waits for any more."""
        while True:
            await self._clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for work in list(self._works.values()):
                self._housekeep(work, now_ms)

    @property
    def unfinished_count(self):
        """How many requests wait or run."""
        return sum(work.phase != Phase.ENDED for work in self._works.values())

    def _heard(self, connection, version, digest):
        if connection.key.role == ENTRY_ROLE:
            self._process.update_peer_sheet(connection, version, digest)
            self._process.record_entry_contact()

    def _housekeep(self, work, now_ms):
        if work.phase == Phase.ENDED:
            retention_ms = self._process.settings.answer_retention_ms
            if now_ms - work.ended_ms < retention_ms:
                return
            work.forget_answer()
            # Until its deadline a late copy of the message must find a record.
            if self._clock.wall_ms() >= work.submit.deadline_at_ms:
                del self._works[work.request_id]
        elif work.detached_ms is not None and self._process.kind() == Kind.MODEL:
            if now_ms - work.detached_ms > DETACHED_LIMIT_MS:
                self._process.runner.cancel(work)

    def _submit(self, connection, submit):
        known = self._works.get(submit.request_id)
        if known is not None:
            if known.submit.customer == submit.customer:
                known.follow(
                    connection, attempt=submit.attempt, offset=len(submit.given)
                )
            return
        try:
            self._admit(connection, submit)
        except RequestError as error:
            self._refuse(connection, submit, error)

    def _admit(self, connection, submit):
        key = self._read_key(submit)
        if key is not None and self._follow_key(connection, submit, key):
            return
        work = Work(submit=submit, key=key, arrived_ms=self._clock.now_ms())
        self._works[submit.request_id] = work
        work.follow(connection, attempt=submit.attempt, offset=len(submit.given))
        try:
            self._check_admission(submit)
            self._enqueue(work)
        except RequestError as error:
            self._process.runner.reject(work, error.verdict())

    def _check_admission(self, submit):
        if self._process.leaving:
            raise DrainingError("the target is leaving")
        target = self._process.target
        wanted = (submit.service, submit.version)
        if target is None or (target.service, target.version) != wanted:
            raise NoTargetError(service=submit.service, version=submit.version)
        if not self._process.reconciler.ready:
            raise NoTargetError(service=submit.service, version=submit.version)
        if self._clock.wall_ms() >= submit.deadline_at_ms:
            raise DeadlineError("the deadline passed on the way to the target")

    def _enqueue(self, work):
        submit = work.submit
        left_ms = submit.deadline_at_ms - self._clock.wall_ms()
        now_ms = self._clock.now_ms()
        waiting = QueuedRequest(
            request_id=submit.request_id,
            customer=submit.customer,
            deadline_ms=now_ms + left_ms,
            queued_ms=now_ms,
            priority=submit.priority,
            share=self._process.share_of(submit.customer),
            payload=work,
        )
        evicted = self._process.queue.put(waiting)
        if evicted is not None:
            error = OverloadedError("others' requests go before this customer's")
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

    def _follow_key(self, connection, submit, key):
        """Return whether the key's request ran, runs or ended before."""
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
            # The entry has told its caller; the first attempt goes on.
            return
        _send_decision(connection, submit, decision)

    def _refuse(self, connection, submit, error):
        connection.send(
            Refused(
                request_id=submit.request_id,
                attempt=submit.attempt,
                verdict=error.verdict(),
            )
        )

    def _cancel(self, cancel):
        work = self._works.get(cancel.request_id)
        if work is not None and work.submit.customer == cancel.customer:
            self._process.runner.cancel(work)

    def _resume(self, connection, resume):
        work = self._works.get(resume.request_id)
        forgotten = work is not None and work.phase == Phase.ENDED and not work.events
        if work is None or forgotten or work.submit.customer != resume.customer:
            error = UnknownRequestError("the target does not hold this request")
            self._refuse(connection, resume, error)
            return
        work.follow(connection, attempt=resume.attempt, offset=resume.offset)

    def _detach(self, connection, detach):
        work = self._works.get(detach.request_id)
        if work is not None:
            work.unfollow(connection, now_ms=self._clock.now_ms())

    async def _probe(self, connection, probe):
        healthy = await self._process.monitor.check()
        connection.send(
            ProbeReply(
                probe_id=probe.probe_id,
                healthy=healthy,
                leaving=self._process.leaving,
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
