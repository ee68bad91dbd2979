"""The steps of the demonstration, in the sequence in which they run."""

import asyncio
from dataclasses import dataclass

from waxwinghold_standins.engine import whole_text

from .callers import Caller
from .examples import Example
from .fleet import Fleet

QUESTION_TOKENS_COUNT = 24
STREAM_TOKENS_COUNT = 60
LONG_TOKENS_COUNT = 120
TOKENS_BEFORE_FAULT_COUNT = 20
ONCE_CALLS_COUNT = 3
SERVICE_UNAVAILABLE = 503
POLL_INTERVAL_S = 0.05

STEPS = []


@dataclass(frozen=True, kw_only=True)
class StepContext:
    """The example, fleet and caller that a step uses."""

    example: Example
    fleet: Fleet
    caller: Caller

    @property
    def entries(self):
        """The endpoints of the running entries, in a fixed sequence."""
        children = self.fleet.children
        endpoints = self.fleet.entries.values()
        return [
            endpoint
            for endpoint in endpoints
            if children[endpoint.name].exit_status is None
        ]

    @property
    def version(self):
        """The version that calls to the model service request."""
        services = {row["name"]: row for row in self.fleet.sheet["services"]}
        return services[self.example.model_service]["versions"][0]["version"]

    def body(self, tokens_count):
        """Return the body of a model call."""
        return {"prompt": self.example.prompt, "max_tokens": tokens_count}

    def expected_text(self, tokens_count):
        """Return the complete text that answers a model call."""
        return whole_text(self.example.prompt, self.version, tokens_count)

    def streaming(self, entry, tokens_count):
        """Start a streamed call; return a context manager for its stream."""
        return self.caller.streaming(
            entry,
            self.example.model_service,
            self.example.streamed_call,
            self.body(tokens_count),
            version=self.version,
        )

    async def ask(self, entry, tokens_count=QUESTION_TOKENS_COUNT):
        """Make a call that is not streamed and return its answer."""
        return await self.caller.call(
            entry,
            self.example.model_service,
            self.example.question_call,
            self.body(tokens_count),
            version=self.version,
        )

    async def runs_count(self):
        """Return how often the once-only call has run on all targets together."""
        count = 0
        for endpoint in self.fleet.targets_of(self.example.plain_service):
            async with self.fleet.session.get(
                f"{endpoint.http_url}/effects"
            ) as response:
                effects = await response.json()
            count += sum(effects.get(self.example.once_call, {}).values())
        return count


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The expected and the observed result of a step, as text."""

    expected: str
    seen: str

    @property
    def ok(self):
        """Whether the observed result is the expected one."""
        return self.expected == self.seen


def step(title):
    """Register the decorated function as a step of the demonstration.

    Args:
        title: Name of the step. ``{question}``, ``{stream}`` and ``{once}`` stand
            for the values in ``Example.call_titles``.
    """

    def register(function):
        STEPS.append((title, function))
        return function

    return register


def _describe(stream, expected_text):
    if stream.is_complete and stream.text == expected_text:
        return f"{stream.length} tokens, complete"
    return (
        f"{len(stream.tokens)} tokens of {stream.length}, "
        f"status {stream.status}, error {stream.error or 'none'}"
    )


@step("{question}")
async def _question(context):
    answer = await context.ask(context.entries[0])
    is_expected = answer.status == 200 and answer.document == {
        "text": context.expected_text(QUESTION_TOKENS_COUNT)
    }
    seen = (
        "200, the complete text"
        if is_expected
        else f"{answer.status} {answer.body[:60]}"
    )
    return Outcome(expected="200, the complete text", seen=seen)


@step("{stream}, streamed")
async def _streamed(context):
    async with context.streaming(context.entries[0], STREAM_TOKENS_COUNT) as stream:
        await stream.read()
    return Outcome(
        expected=f"{STREAM_TOKENS_COUNT} tokens, complete",
        seen=_describe(stream, context.expected_text(STREAM_TOKENS_COUNT)),
    )


@step("{once}, sent 3 times")
async def _once_only(context):
    example = context.example
    before_count = await context.runs_count()
    key = await context.caller.issue_key(context.entries[0], example.plain_service)
    answers = await asyncio.gather(
        *(
            context.caller.call(
                entry,
                example.plain_service,
                example.once_call,
                example.once_body,
                key=key,
            )
            for entry in context.entries[:ONCE_CALLS_COUNT]
        )
    )
    runs_count = await context.runs_count() - before_count
    statuses = ", ".join(str(answer.status) for answer in answers)
    bodies_count = len({answer.body for answer in answers})
    return Outcome(
        expected="200, 200, 200; answers: 1; runs: 1",
        seen=f"{statuses}; answers: {bodies_count}; runs: {runs_count}",
    )


@step("{stream}, target killed during the stream")
async def _target_killed(context):
    async with context.streaming(context.entries[0], LONG_TOKENS_COUNT) as stream:
        await stream.read(until_count=TOKENS_BEFORE_FAULT_COUNT)
        await context.fleet.kill_target(stream.target)
        await stream.read()
    answer = _describe(stream, context.expected_text(LONG_TOKENS_COUNT))
    return Outcome(
        expected=f"{LONG_TOKENS_COUNT} tokens, complete; targets: 2",
        seen=f"{answer}; targets: {stream.targets_count}",
    )


@step("{stream}, entry drained during the stream")
async def _entry_drained(context):
    drained, other = context.entries[:2]
    child = context.fleet.children[drained.name]
    async with context.streaming(drained, LONG_TOKENS_COUNT) as stream:
        await stream.read(until_count=TOKENS_BEFORE_FAULT_COUNT)
        child.terminate()
        await _wait_until_health_fails(context, drained)
        other_answer = await context.ask(other)
        rejection = await _rejected_answer(context, drained)
        await stream.read()
    status = await child.wait_ended()
    answer = _describe(stream, context.expected_text(LONG_TOKENS_COUNT))
    return Outcome(
        expected=(
            f"{LONG_TOKENS_COUNT} tokens, complete; drained entry: draining, not_run; "
            "other entry: 200; exit: 0"
        ),
        seen=(
            f"{answer}; drained entry: {rejection.code}, {rejection.ran}; "
            f"other entry: {other_answer.status}; exit: {status}"
        ),
    )


async def _wait_until_health_fails(context, entry):
    """Wait until the health check of ``entry`` fails.

    The platform's balancer then sends new calls to other entries.
    """
    while True:
        async with context.fleet.session.get(f"{entry.http_url}/health") as response:
            if response.status == SERVICE_UNAVAILABLE:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _rejected_answer(context, entry):
    """Call until ``entry`` rejects a call, and return that answer.

    A draining entry still serves calls until ``drain_notice_ms`` is over.
    """
    while True:
        answer = await context.ask(entry, tokens_count=1)
        if answer.status == SERVICE_UNAVAILABLE:
            return answer
        await asyncio.sleep(POLL_INTERVAL_S)
