"""What an agent concludes from a target that fails, stands still or is silent."""

import asyncio
import types
import unittest
import unittest.mock

from tests.standin_client import TIMEOUT_S, StandInTestCase
from waxwinghold import Clock, Ran
from waxwinghold._agent.monitor import TargetMonitor
from waxwinghold._agent.target import Health, TargetClient
from waxwinghold._errors import TargetCrashedError, TargetRefusedError
from waxwinghold._messages import Submit
from waxwinghold._sheet.model import Kind
from waxwinghold_standins.engine import Engine, whole_text

SILENCE_MS = 150
TOKENS_COUNT = 30


def submit():
    """Return a request for a streamed answer."""
    return Submit(
        request_id="r",
        attempt=1,
        service="fitting",
        version="v1",
        call="ask",
        customer="nadi",
        priority=0,
        deadline_at_ms=0.0,
        body=b'{"prompt": "p", "max_tokens": %d}' % TOKENS_COUNT,
        content_type="application/json",
        digest="d",
        streamed=True,
    )


class TargetClientTests(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = Engine(step_ms=10.0)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.client = TargetClient(url=self.engine.url, silence_ms=SILENCE_MS)
        self.addAsyncCleanup(self.client.close)

    async def read(self, *, act_after=3, act):
        """Return the whole text; ``act`` is awaited after some events."""
        events = []
        async for batch in self.client.generate(submit()):
            before, events = len(events), [*events, *batch]
            if before < act_after <= len(events):
                await act()
        return "".join(events)

    async def test_an_engine_that_dies_under_a_stream_may_have_run_it(self):
        with self.assertRaises(TargetCrashedError) as caught:
            await self.read(act=self.engine.stop)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)

    async def test_an_engine_that_dies_between_check_and_resume_may_have_run_it(self):
        with unittest.mock.patch.object(self.client, "_check_known"):
            with self.assertRaises(TargetCrashedError) as caught:
                await self.read(act=self.engine.stop)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)

    async def test_an_engine_that_was_never_there_ran_nothing(self):
        await self.engine.stop()
        with self.assertRaises(TargetRefusedError) as caught:
            await self.read(act=self.engine.stop)
        self.assertEqual(caught.exception.ran, Ran.NOT_RUN)

    async def test_a_silent_connection_is_replaced_and_the_text_is_whole(self):
        async def silence():
            self.engine.silence()

        text = await self.read(act=silence)
        self.assertEqual(text, whole_text("p", "v1", TOKENS_COUNT))

    async def test_an_engine_whose_steps_stand_is_not_healthy(self):
        self.assertIs(await self.client.health(), Health.GOOD)

        async def stall():
            await self.fault(self.engine.url, stalled=True)

        reading = self.client.generate(submit())
        await anext(reading)
        await stall()
        async with asyncio.timeout(TIMEOUT_S):
            while await self.client.health() is not Health.BAD:
                pass
        await reading.aclose()


class MonitorTests(unittest.IsolatedAsyncioTestCase):
    async def test_only_the_second_missed_check_in_a_row_counts(self):
        answers = [Health.GOOD, Health.SILENT, Health.GOOD, *[Health.SILENT] * 2]

        async def health():
            return answers.pop(0)

        monitor = TargetMonitor(
            clock=Clock(),
            client=types.SimpleNamespace(health=health),
            interval_ms=100,
            kind=lambda: Kind.PLAIN,
        )
        seen = []
        while answers:
            await monitor.check()
            seen.append(monitor.healthy)
        self.assertEqual(seen, [True, True, True, True, False])

    async def test_a_bad_answer_counts_at_once(self):
        async def health():
            return Health.BAD

        monitor = TargetMonitor(
            clock=Clock(),
            client=types.SimpleNamespace(health=health),
            interval_ms=100,
            kind=lambda: Kind.PLAIN,
        )
        monitor.healthy = True
        await monitor.check()
        self.assertFalse(monitor.healthy)
