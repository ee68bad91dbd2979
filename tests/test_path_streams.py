"""Streamed answers: complete or visibly cut, and only for their own customer."""

import asyncio
import itertools

from waxwinghold._messages import Chunk
from waxwinghold_standins.engine import token_text

from .support.case import FleetCase
from .support.fleet import TWO_ENGINES
from .support.taps import Rule, delay, drop, duplicate

TOKENS_COUNT = 60
RULE_LIMIT_COUNT = 1000


def expected(prompt):
    """Return all events of the answer to ``prompt``."""
    return tuple(token_text(prompt, "v1", position) for position in range(TOKENS_COUNT))


def is_chunk(message):
    """Return whether a message carries events."""
    return isinstance(message, Chunk)


def every_seventh(position):
    """Return a predicate for every seventh message with events.

    Args:
        position: Index of the first matching message.
    """
    counter = itertools.count()

    def matches(message):
        return is_chunk(message) and next(counter) % 7 == position

    return matches


class StreamsTest(FleetCase):
    async def start_engines(self, **options):
        return await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=10_000, **options
        )

    async def test_duplicated_delayed_and_lost_frames_change_no_event(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        rules = [
            node.tap.add(
                Rule(
                    matches=every_seventh(position),
                    act=act,
                    limit_count=RULE_LIMIT_COUNT,
                )
            )
            for node in fleet.agents.values()
            for position, act in enumerate((duplicate, delay(60), drop))
        ]
        prompts = [f"prompt {number}" for number in range(8)]
        outcomes = await asyncio.gather(
            *(caller.stream("entry-a", prompt, TOKENS_COUNT) for prompt in prompts)
        )
        for prompt, outcome in zip(prompts, outcomes):
            self.assert_answered(outcome)
            self.assertEqual(expected(prompt), outcome.events)
        self.assertTrue(any(rule.matched.is_set() for rule in rules))

    async def test_a_visibly_cut_answer_resumes_through_another_entry(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        started = asyncio.Event()
        task = asyncio.create_task(
            caller.stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: started.set()
            )
        )
        await started.wait()
        await fleet.entries["entry-a"].kill()
        cut = await task
        self.assertFalse(cut.complete)
        self.assertFalse(cut.end_received)
        token = cut.header("Waxwing-Request")
        rest = await caller.resume("entry-b", token, offset=len(cut.events))
        self.assert_answered(rest)
        self.assertEqual(expected("p"), cut.events + rest.events)
        runs = [engine.standin.runs for engine in fleet.targets.values()]
        self.assertEqual([1], [count for counts in runs for count in counts.values()])

    async def test_a_disconnected_caller_resumes_through_a_restarted_entry(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        first_event = asyncio.get_running_loop().create_future()

        def record_first_event(events, response):
            if not first_event.done():
                first_event.set_result(
                    (len(events), response.headers["Waxwing-Request"])
                )

        task = asyncio.create_task(
            caller.stream("entry-a", "p", TOKENS_COUNT, on_event=record_first_event)
        )
        _, token = await first_event
        task.cancel()
        await fleet.entries["entry-a"].kill()
        await fleet.entries["entry-a"].start()
        await fleet.until_ready()
        whole = await caller.resume("entry-a", token)
        self.assert_answered(whole)
        self.assertEqual(expected("p"), whole.events)

    async def test_a_stream_that_cannot_continue_is_cut_with_a_verdict(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        started = asyncio.Event()
        task = asyncio.create_task(
            caller.stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: started.set()
            )
        )
        await started.wait()
        for node in [*fleet.agents.values(), *fleet.targets.values()]:
            await node.kill()
        cut = await task
        self.assertFalse(cut.complete)
        self.assertFalse(cut.end_received)
        self.assertEqual("may_have_run", cut.ran)
        self.assertEqual(expected("p")[: len(cut.events)], cut.events)

    async def test_another_customer_gets_nothing_of_an_answer(self):
        fleet = await self.start_engines()
        owner, other_customer = fleet.caller("suva"), fleet.caller("tour-desk")
        whole = await owner.stream("entry-a", "p", TOKENS_COUNT)
        token = whole.header("Waxwing-Request")
        for entry in ("entry-a", "entry-b"):
            foreign = await other_customer.resume(entry, token)
            self.assertEqual((422, ()), (foreign.status, foreign.events))
            self.assertEqual(expected("p"), (await owner.resume(entry, token)).events)
