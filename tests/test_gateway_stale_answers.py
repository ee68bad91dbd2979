"""Tests of targets that send an earlier answer once more."""

import asyncio

from .test_gateway_silent_targets import SilentTargetCase

REQUESTS_COUNT = 6
PATHS = ("/safe/a", "/unsafe/a")


class EarlierRefusalTests(SilentTargetCase):
    """An earlier refusal was followed by the answer, which was taken for extra bytes.

    The caller was told that the answer was lost, or the request was sent once more.
    """

    async def outcomes(self, fixture, path):
        """Return the status and body of several requests, one after the other."""
        outcomes = []
        for number in range(REQUESTS_COUNT):
            status, _, body = await fixture.call(
                path, method="POST", request_id=f"{path}{number}", Deadline_Ms="1500"
            )
            outcomes.append((status, body))
        return outcomes

    async def test_the_answer_after_an_earlier_refusal_is_passed_on(self):
        for path in PATHS:
            with self.subTest(path=path):
                fixture = await self.fixture("late_refusal", "whole")
                fixture.gateway.target_pool.get("w1").avoid(
                    now_ms=fixture.gateway.clock.now_ms(), pause_ms=10_000.0
                )
                sound = (200, fixture.workers[0].body)
                outcomes = await self.outcomes(fixture, path)
                self.assertEqual(outcomes, [sound] * REQUESTS_COUNT)
                self.assertEqual(len(fixture.workers[0].runs), REQUESTS_COUNT)
                self.assertEqual(fixture.workers[1].runs, [])

    async def test_a_refusal_that_is_sent_twice_refuses_one_request(self):
        for path in PATHS:
            with self.subTest(path=path):
                fixture = await self.fixture("shed_twice")
                first = fixture.workers[0]
                status, *_ = await fixture.call(path, method="POST", request_id="r-0")
                self.assertEqual(status, 503)
                first.behaviour = "whole"
                await asyncio.sleep(0.2)
                outcomes = await self.outcomes(fixture, path)
                self.assertEqual(outcomes, [(200, first.body)] * REQUESTS_COUNT)
                self.assertEqual(len(first.runs), REQUESTS_COUNT)
