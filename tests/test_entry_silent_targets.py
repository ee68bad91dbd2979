"""Tests of calls through the entry whose target falls silent for a while."""

import asyncio
import unittest
from types import SimpleNamespace

from waxwinghold._clock import Clock
from waxwinghold._entry.attempts import Attempts
from waxwinghold._entry.sending import Sender
from waxwinghold._errors import OverloadedError
from waxwinghold._messages import Answer

LEFT_MS = 1000.0
# Later than the share of the time after which an attempt is given up.
ANSWER_S = 0.6


class GivenUpCallTests(unittest.IsolatedAsyncioTestCase):
    """A call was cancelled at its target before another one could take it."""

    def attempts(self, *, has_retry, key=None, send_again=None):
        """Return the ``Attempts`` at a call whose target answers at ``ANSWER_S``.

        Args:
            has_retry: Whether the budget grants retries.
            key: The call's key, or ``None``.
            send_again: Called for each send after the first.
        """
        clock = Clock()
        end_ms = clock.now_ms() + LEFT_MS
        self.cancelled = []
        target = SimpleNamespace(
            name="stock-1", cancel=lambda **fields: self.cancelled.append(fields)
        )
        process = SimpleNamespace(
            clock=clock,
            budget=SimpleNamespace(take_retry=lambda *, now_ms: has_retry),
            record_answer=lambda request, has_run: None,
            retry_after_ms=lambda time_ms: time_ms,
        )
        request = SimpleNamespace(
            request_id="r-1",
            idempotent=True,
            key=key,
            customer=SimpleNamespace(name="a-customer"),
        )
        attempts = Attempts(process=process, request=request)

        async def send(*, given):
            if attempts._sender.sent_count:
                send_again()
            attempts._sender.sent_count += 1

        attempts._sender = SimpleNamespace(
            target=target,
            sent_count=0,
            send=send,
            release=lambda: None,
            left_ms=lambda: end_ms - clock.now_ms(),
            has_another=lambda: True,
        )
        self.answer = Answer(
            request_id="r-1",
            attempt=0,
            status=200,
            content_type="text/plain",
            body=b"whole",
        )

        async def next_message(*, limit_ms):
            delay_s = ANSWER_S - (LEFT_MS - attempts._sender.left_ms()) / 1000
            async with asyncio.timeout(limit_ms / 1000):
                await asyncio.sleep(delay_s)
            return self.answer

        attempts._exchange.next = next_message
        return attempts

    async def test_a_call_gets_its_silent_target_s_answer_if_no_retry_is_left(self):
        attempts = self.attempts(has_retry=False)
        self.assertIs(await attempts.answer(), self.answer)
        self.assertEqual(self.cancelled, [])

    async def test_a_call_gets_its_silent_target_s_answer_if_the_others_are_full(self):
        def send_again():
            raise OverloadedError("the expected wait is too long")

        attempts = self.attempts(has_retry=True, send_again=send_again)
        self.assertIs(await attempts.answer(), self.answer)
        self.assertEqual(self.cancelled, [])

    async def test_a_call_with_a_key_stays_at_the_key_s_owner(self):
        sent = []
        attempts = self.attempts(
            has_retry=True, key="key", send_again=lambda: sent.append("again")
        )
        self.assertIs(await attempts.answer(), self.answer)
        self.assertEqual((sent, self.cancelled), ([], []))


class OtherTargetTests(unittest.TestCase):
    """Whether a call may leave its silent target for another one."""

    def sender(self, **healthy):
        """Return a ``Sender`` that has sent to ``stock-1``, and its targets' health."""
        targets = {
            name: SimpleNamespace(
                name=name,
                candidate=SimpleNamespace(name=name, healthy=is_healthy),
                is_serving=True,
                takes_work=True,
                has_adapter=lambda adapter: True,
            )
            for name, is_healthy in healthy.items()
        }
        process = SimpleNamespace(
            clock=Clock(),
            target_pool=SimpleNamespace(targets_of=lambda **fields: targets),
        )
        request = SimpleNamespace(
            service=SimpleNamespace(name="stock"), version="v1", adapter=""
        )
        sender = Sender(process=process, request=request, exchange=None)
        sender.target = targets["stock_1"]
        sender._tried.add("stock_1")
        return sender

    def test_a_sound_target_is_not_left_for_an_unhealthy_one(self):
        self.assertFalse(self.sender(stock_1=True, stock_2=False).has_another())

    def test_a_silent_target_is_left_for_a_healthy_one(self):
        self.assertTrue(self.sender(stock_1=True, stock_2=True).has_another())

    def test_an_unhealthy_target_is_left_for_any_other(self):
        self.assertTrue(self.sender(stock_1=False, stock_2=False).has_another())
