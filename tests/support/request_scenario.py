"""A request that is held at a step of its processing and released again."""

import asyncio
import json
from dataclasses import dataclass, replace

from waxwinghold._keys import OnceKey
from waxwinghold._messages import Answer, Chunk, End, Submit
from waxwinghold_standins.engine import token_text

from .fleet import until
from .taps import HoldRule

STEP_LIMIT_S = 5.0
TOKENS_COUNT = 40
TOKENS_BEFORE_FAULT_COUNT = 3
HELD_LIMIT_COUNT = 1000
# Time for messages inside the event loop to arrive.
SETTLE_S = 0.05


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of call.

    Args:
        name: Name of the kind.
        call: Name of the call in the sheet.
        service: Name of its service, with which target names begin.
        is_resent: Whether a caller that got no answer sends the request again.
    """

    name: str
    call: str
    service: str = "booking"
    is_resent: bool = True

    @property
    def streamed(self):
        """Whether the answer is a stream of events."""
        return self.service == "fitting"

    @property
    def repeatable(self):
        """Whether the call may run more than once."""
        return self.name in ("idempotent", "streamed")


KINDS = {
    kind.name: kind
    for kind in (
        Kind(name="idempotent", call="stock"),
        Kind(name="once", call="hold"),
        Kind(name="single", call="note", is_resent=False),
        Kind(name="streamed", call="advice", service="fitting"),
    )
}


class RequestScenario:
    """A request, its caller and the processes that serve it.

    Args:
        fleet: The ``Fleet``; the request is sent to its ``entry-a`` first.
        kind: The ``Kind`` of the request.
        text: Body or prompt, unique among the fleet's requests.

    Attributes:
        outcomes: Every ``Outcome`` so far, in order.
        hold_rule: The ``HoldRule`` that holds the message in transit.
        keep_target_stalled: Whether ``release`` leaves the target stalled.
        stream_started: Event that is set after the first events of a stream.
    """

    entry = "entry-a"
    other_entry = "entry-b"

    def __init__(self, *, fleet, kind, text):
        self.fleet = fleet
        self.kind = kind
        self.text = text
        self.caller = fleet.caller()
        self.outcomes = []
        self.hold_rule = None
        self.keep_target_stalled = False
        self.stream_started = asyncio.Event()
        self._key = None
        self._key_owner = None
        self._task = None
        self._effects_before_count = self._count_effects()
        self._undo_actions = []

    @property
    def target(self):
        """Name of the target that has the request, or would get it by default."""
        if self._key_owner is not None:
            return self._key_owner
        targets = self.fleet.entries[self.entry].process.target_pool.targets
        for name, target in targets.items():
            if target.in_flight:
                return name
        return f"{self.kind.service}-a"

    @property
    def agent(self):
        """The ``AgentNode`` of that target."""
        return self.fleet.agents[self.target]

    @property
    def effects_count(self):
        """Number of times the request has run."""
        return self._count_effects() - self._effects_before_count

    async def prepare(self):
        """Obtain a once-only key if the call needs one."""
        if self.kind.name != "once":
            return
        while self._key is None:
            self._key = await self.caller.key(self.entry)
        signer = self.fleet.entries[self.entry].process.token_signer
        self._key_owner = signer.read(self._key, OnceKey).target

    def start(self):
        """Let the caller send its request, unless it has done so."""
        if self._task is None:
            self._task = asyncio.create_task(self._send(self.entry))

    async def finish(self):
        """Return the caller's last outcome, after resuming or resending if needed."""
        self.start()
        outcome = await self._task
        self.outcomes.append(outcome)
        if outcome.ok or not self.kind.is_resent:
            return outcome
        if outcome.header("Waxwing-Request"):
            resumed = await self._resume(outcome)
            if resumed.ok:
                return resumed
        if outcome.status in (0, 200, 503):
            # The answer was cut off, or the request was rejected and may be sent
            # again. After a failed resumption the request is sent again too.
            return await self.resend()
        return outcome

    async def resend(self):
        """Send the same request again, to the other entry."""
        outcome = await self._send(self.other_entry)
        self.outcomes.append(outcome)
        return outcome

    async def _resume(self, cut_outcome):
        """Request the rest of a cut stream from the other entry."""
        rest = await self.caller.resume(
            self.other_entry,
            cut_outcome.header("Waxwing-Request"),
            offset=len(cut_outcome.events),
        )
        resumed = replace(rest, events=cut_outcome.events + rest.events)
        self.outcomes.append(resumed)
        return resumed

    def is_own_answer(self, outcome):
        """Return whether an answer is the exact and complete answer to this request."""
        if self.kind.streamed:
            expected = [
                token_text(self.text, "v1", index) for index in range(TOKENS_COUNT)
            ]
            return list(outcome.events) == expected
        document = json.loads(outcome.body)
        return (document["body"], document["customer"]) == (self.text, "suva")

    def is_own_beginning(self, outcome):
        """Return whether a cut stream is the beginning of this request's answer."""
        expected = [
            token_text(self.text, "v1", index) for index in range(len(outcome.events))
        ]
        return list(outcome.events) == expected

    def release(self):
        """Undo everything that holds the request at its step."""
        for undo in self._undo_actions:
            undo()
        self._undo_actions = []

    async def until_submit_leaves(self):
        """Hold the submit message that the entry sends."""
        tap = self.fleet.entries[self.entry].tap
        self.hold_rule = tap.add(
            HoldRule(matches=lambda message: isinstance(message, Submit))
        )
        self._undo_actions.append(self.hold_rule.release)
        self.start()
        await self._until(self.hold_rule.matched.is_set, "a submit message")

    async def until_queued(self):
        """Hold the request in its agent's queue."""
        runners = [node.process.runner for node in self.fleet.agents.values()]
        for runner in runners:
            self._block_slots(runner)
        self.start()
        agents = self.fleet.agents.values()
        await self._until(
            lambda: any(len(node.process.queue) for node in agents), "a queued request"
        )

    async def until_started(self):
        """Wait until the target runs the request; stall plain services meanwhile."""
        if self.kind.streamed:
            self.start()
            await self._until(self.stream_started.is_set, "the first events")
            return
        for target in self.fleet.targets.values():
            target.set_faults(stalled=True)
            self._undo_actions.append(lambda target=target: self._unstall(target))
        self.start()
        agents = self.fleet.agents.values()
        await self._until(
            lambda: any(node.process.runner.running_count for node in agents),
            "a running request",
        )
        await asyncio.sleep(SETTLE_S)

    async def until_answer_leaves(self):
        """Hold the answer, or all messages of a stream, that the agent sends."""
        message_types = (Chunk, End) if self.kind.streamed else (Answer,)
        rules = [
            node.tap.add(
                HoldRule(
                    matches=lambda message: isinstance(message, message_types),
                    limit_count=HELD_LIMIT_COUNT,
                )
            )
            for node in self.fleet.agents.values()
        ]
        self._undo_actions += [rule.release for rule in rules]
        self.start()
        await self._until(
            lambda: any(rule.matched.is_set() for rule in rules), "an answer"
        )
        if self.kind.streamed:
            await asyncio.sleep(SETTLE_S)
        self.hold_rule = next(rule for rule in rules if rule.matched.is_set())

    async def until_answer_at_entry(self):
        """Hold the complete answer in the entry."""
        process = self.fleet.entries[self.entry].process
        arrived, gate = asyncio.Event(), asyncio.Event()
        make_attempts = process.attempts

        def make_gated_attempts(request):
            return _gated(make_attempts(request), arrived, gate)

        def restore_attempts():
            process.attempts = make_attempts
            gate.set()

        process.attempts = make_gated_attempts
        self._undo_actions.append(restore_attempts)
        self.start()
        await self._until(arrived.is_set, "an answer at the entry")

    async def until_done(self):
        """Wait until the caller has its answer."""
        await self.finish()

    async def _until(self, condition, description):
        await until(condition, limit_s=STEP_LIMIT_S, what=description)

    async def _send(self, entry):
        if self.kind.streamed:
            return await self.caller.stream(
                entry, self.text, TOKENS_COUNT, on_event=self._on_events
            )
        return await self.caller.call(
            entry, self.kind.call, self.text.encode(), key=self._key
        )

    def _on_events(self, events, response):
        if len(events) >= TOKENS_BEFORE_FAULT_COUNT:
            self.stream_started.set()

    def _count_effects(self):
        return self.fleet.effects_count(self.kind.call)

    def _block_slots(self, runner):
        slots_count = runner._slots_count
        runner._slots_count = lambda: 0

        def restore():
            runner._slots_count = slots_count
            runner.wake()

        self._undo_actions.append(restore)

    def _unstall(self, target):
        if not (self.keep_target_stalled and target.name == self.target):
            target.set_faults(stalled=False)


def _gated(attempts, arrived, gate):
    """Return ``attempts`` with its complete answer held until ``gate`` is set."""
    answer, stream = attempts.answer, attempts.stream

    async def answer_gated():
        complete_answer = await answer()
        arrived.set()
        await gate.wait()
        return complete_answer

    async def stream_gated():
        async for batch in stream():
            yield batch
        arrived.set()
        await gate.wait()

    attempts.answer = answer_gated
    attempts.stream = stream_gated
    return attempts
