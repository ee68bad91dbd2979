"""The steps of the demonstration, in order of their registration."""

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
SENDINGS_COUNT = 3
SERVICE_UNAVAILABLE = 503
POLL_INTERVAL_S = 0.05

STEPS = []


@dataclass(frozen=True, kw_only=True)
class StepContext:
    """What a step works with."""

    example: Example
    fleet: Fleet
    caller: Caller

    @property
    def entries(self):
        """The entries that still serve, in a fixed order."""
        children = self.fleet.children
        endpoints = self.fleet.entries.values()
        return [
            endpoint
            for endpoint in endpoints
            if children[endpoint.name].exit_status is None
        ]

    @property
    def version(self):
        """The version that calls are pinned to."""
        services = {row["name"]: row for row in self.fleet.sheet["services"]}
        return services[self.example.model]["versions"][0]["version"]

    def body(self, tokens_count):
        """Return the body of a model call."""
        return {"prompt": self.example.prompt, "max_tokens": tokens_count}

    def expected_text(self, tokens_count):
        """Return the whole answer to a model call."""
        return whole_text(self.example.prompt, self.version, tokens_count)

    def streaming(self, entry, tokens_count):
        """Begin a streamed call."""
        return self.caller.streaming(
            entry,
            self.example.model,
            self.example.streamed_call,
            self.body(tokens_count),
            version=self.version,
        )

    async def ask(self, entry, tokens_count=QUESTION_TOKENS_COUNT):
        """Make a call that is not streamed."""
        return await self.caller.call(
            entry,
            self.example.model,
            self.example.question_call,
            self.body(tokens_count),
            version=self.version,
        )

    async def runs_count(self):
        """Return how often the once-only call ran, over all targets."""
        count = 0
        for endpoint in self.fleet.targets_of(self.example.plain):
            async with self.fleet.session.get(
                f"{endpoint.http_url}/effects"
            ) as response:
                effects = await response.json()
            count += sum(effects.get(self.example.once_call, {}).values())
        return count


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a step expected and saw."""

    expected: str
    seen: str

    @property
    def ok(self):
        """Whether all was as expected."""
        return self.expected == self.seen


def step(title):
    """Register a step of the demonstration.

    Args:
        title: The step's name, with the example's words in braces.
    """

    def register(function):
        STEPS.append((title, function))
        return function

    return register


def _wholeness(stream, expected_text):
    if stream.is_complete and stream.text == expected_text:
        return f"{stream.length} tokens, whole"
    return (
        f"{len(stream.tokens)} tokens of {stream.length}, "
        f"status {stream.status}, error {stream.error or 'none'}"
    )


@step("{question}")
async def _question(context):
    answer = await context.ask(context.entries[0])
    right = answer.status == 200 and answer.document == {
        "text": context.expected_text(QUESTION_TOKENS_COUNT)
    }
    seen = "200, the whole text" if right else f"{answer.status} {answer.body[:60]}"
    return Outcome(expected="200, the whole text", seen=seen)


@step("{stream}, streamed")
async def _streamed(context):
    async with context.streaming(context.entries[0], STREAM_TOKENS_COUNT) as stream:
        await stream.read()
    return Outcome(
        expected=f"{STREAM_TOKENS_COUNT} tokens, whole",
        seen=_wholeness(stream, context.expected_text(STREAM_TOKENS_COUNT)),
    )


@step("{once}, sent 3 times over")
async def _hold(context):
    example = context.example
    before_count = await context.runs_count()
    key = await context.caller.issue_key(context.entries[0], example.plain)
    answers = await asyncio.gather(
        *(
            context.caller.call(
                entry, example.plain, example.once_call, example.once_body, key=key
            )
            for entry in context.entries[:SENDINGS_COUNT]
        )
    )
    runs_count = await context.runs_count() - before_count
    statuses = ", ".join(str(answer.status) for answer in answers)
    bodies_count = len({answer.body for answer in answers})
    return Outcome(
        expected="200, 200, 200; answers: 1; runs: 1",
        seen=f"{statuses}; answers: {bodies_count}; runs: {runs_count}",
    )


@step("{stream}, worker killed under way")
async def _worker_killed(context):
    async with context.streaming(context.entries[0], LONG_TOKENS_COUNT) as stream:
        await stream.read(until_count=TOKENS_BEFORE_FAULT_COUNT)
        await context.fleet.kill_target(stream.target)
        await stream.read()
    whole = _wholeness(stream, context.expected_text(LONG_TOKENS_COUNT))
    return Outcome(
        expected=f"{LONG_TOKENS_COUNT} tokens, whole; targets: 2",
        seen=f"{whole}; targets: {stream.targets_count}",
    )


@step("{stream}, entry drained under way")
async def _entry_drained(context):
    drained, other = context.entries[:2]
    child = context.fleet.children[drained.name]
    async with context.streaming(drained, LONG_TOKENS_COUNT) as stream:
        await stream.read(until_count=TOKENS_BEFORE_FAULT_COUNT)
        child.terminate()
        await _until_health_fails(context, drained)
        elsewhere = await context.ask(other)
        refusal = await _refusal(context, drained)
        await stream.read()
    status = await child.wait_ended()
    whole = _wholeness(stream, context.expected_text(LONG_TOKENS_COUNT))
    return Outcome(
        expected=(
            f"{LONG_TOKENS_COUNT} tokens, whole; there: draining, not_run; "
            "elsewhere: 200; exit: 0"
        ),
        seen=(
            f"{whole}; there: {refusal.code}, {refusal.ran}; "
            f"elsewhere: {elsewhere.status}; exit: {status}"
        ),
    )


async def _until_health_fails(context, entry):
    """Wait until the platform's balancer would send new calls elsewhere."""
    while True:
        async with context.fleet.session.get(f"{entry.http_url}/health") as response:
            if response.status == SERVICE_UNAVAILABLE:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _refusal(context, entry):
    """Call until the entry refuses: it serves a while for late callers."""
    while True:
        answer = await context.ask(entry, tokens_count=1)
        if answer.status == SERVICE_UNAVAILABLE:
            return answer
        await asyncio.sleep(POLL_INTERVAL_S)
