"""The whole answer, to its own caller only, and a cut one visibly cut."""

import asyncio
import itertools

from waxwinghold._messages import Chunk
from waxwinghold_standins.engine import token_text

from .support.case import FleetCase
from .support.fleet import TWO_ENGINES
from .support.taps import Rule, delay, drop, duplicate

TOKENS_COUNT = 60
MANY = 1000


def expected(prompt):
    """Return the events of the whole answer to ``prompt``."""
    return tuple(token_text(prompt, "v1", place) for place in range(TOKENS_COUNT))


def is_chunk(message):
    """Return whether a message carries events."""
    return isinstance(message, Chunk)


def every_seventh(place):
    """Return what matches each seventh message with events, from ``place`` on."""
    counter = itertools.count()

    def matches(message):
        return is_chunk(message) and next(counter) % 7 == place

    return matches


class StreamsTest(FleetCase):
    async def start_engines(self, **options):
        return await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=10_000, **options
        )

    async def test_frames_that_are_doubled_late_and_lost_change_nothing(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        rules = [
            node.tap.add(Rule(matches=every_seventh(place), act=act, limit_count=MANY))
            for node in fleet.agents.values()
            for place, act in enumerate((duplicate, delay(60), drop))
        ]
        prompts = [f"prompt {number}" for number in range(8)]
        outcomes = await asyncio.gather(
            *(caller.stream("entry-a", prompt, TOKENS_COUNT) for prompt in prompts)
        )
        for prompt, outcome in zip(prompts, outcomes):
            self.assert_answered(outcome)
            self.assertEqual(expected(prompt), outcome.events)
        self.assertTrue(any(rule.matched.is_set() for rule in rules))

    async def test_a_cut_answer_looks_cut_and_resumes_through_another_entry(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        begun = asyncio.Event()
        task = asyncio.create_task(
            caller.stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: begun.set()
            )
        )
        await begun.wait()
        await fleet.entries["entry-a"].kill()
        cut = await task
        self.assertFalse(cut.complete)
        self.assertFalse(cut.end_received)
        token = cut.header("Waxwing-Request")
        rest = await caller.resume("entry-b", token, offset=len(cut.events))
        self.assert_answered(rest)
        self.assertEqual(expected("p"), cut.events + rest.events)
        runs = [engine.standin.runs for engine in fleet.targets.values()]
        self.assertEqual([1], [n for counts in runs for n in counts.values()])

    async def test_a_vanished_caller_finds_its_answer_through_a_new_entry(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        seen = asyncio.get_running_loop().create_future()

        def vanish(events, response):
            if not seen.done():
                seen.set_result((len(events), response.headers["Waxwing-Request"]))

        task = asyncio.create_task(
            caller.stream("entry-a", "p", TOKENS_COUNT, on_event=vanish)
        )
        _, token = await seen
        task.cancel()
        await fleet.entries["entry-a"].kill()
        await fleet.entries["entry-a"].start()
        await fleet.until_ready()
        whole = await caller.resume("entry-a", token)
        self.assert_answered(whole)
        self.assertEqual(expected("p"), whole.events)

    async def test_a_stream_that_cannot_go_on_is_cut_with_a_verdict(self):
        fleet = await self.start_engines()
        caller = fleet.caller()
        begun = asyncio.Event()
        task = asyncio.create_task(
            caller.stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: begun.set()
            )
        )
        await begun.wait()
        for node in [*fleet.agents.values(), *fleet.targets.values()]:
            await node.kill()
        cut = await task
        self.assertFalse(cut.complete)
        self.assertFalse(cut.end_received)
        self.assertEqual("may_have_run", cut.ran)
        self.assertEqual(expected("p")[: len(cut.events)], cut.events)

    async def test_another_customer_gets_nothing_of_an_answer(self):
        fleet = await self.start_engines()
        own, other = fleet.caller("suva"), fleet.caller("tour-desk")
        whole = await own.stream("entry-a", "p", TOKENS_COUNT)
        token = whole.header("Waxwing-Request")
        for entry in ("entry-a", "entry-b"):
            stolen = await other.resume(entry, token)
            self.assertEqual((422, ()), (stolen.status, stolen.events))
            self.assertEqual(expected("p"), (await own.resume(entry, token)).events)
