"""Tests of the ledger of once-only keys, also against a model, and of fencing."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold import Clock, Ran, Verdict
from waxwinghold._agent.fencing import (
    FencingNumbers,
    StaleTermError,
    SupersededError,
    TermGuard,
)
from waxwinghold._agent.ledger import Action, Ledger, LedgerOrderError, RecordedAnswer
from waxwinghold._errors import KeyExpiredError, KeyMismatchError, OverloadedError
from waxwinghold._messages.maps import Term

LIFETIME_MS = 50
KEYS = [f"k{number}" for number in range(6)]


class ManualWallClock:
    def __init__(self):
        self.time_ms = 1000

    def wall_ms(self):
        return self.time_ms


def answer(text, size=10):
    return RecordedAnswer(status=200, content_type="", body=text.encode() * size)


def refusal(ran=Ran.NOT_RUN):
    return Verdict(ran=ran, code="cancelled", reason="the caller left")


class LedgerModel:
    """A model that keeps every key, its runs and the verdicts returned for it."""

    def __init__(self):
        self.issued_ms = {}
        self.runs = {}
        self.returned = {}

    def expiry_ms(self, key, now_ms):
        return self.issued_ms.setdefault(key, now_ms) + LIFETIME_MS


events = st.lists(
    st.tuples(
        st.sampled_from(["send", "send", "send", "begin", "start", "end", "refuse"]),
        st.sampled_from(KEYS),
        st.sampled_from([0, 0, 0, 1, 20, 60, -40]),
    ),
    max_size=60,
)


class LedgerTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(events=events, limit_bytes=st.sampled_from([1500, 3000, 100_000]))
    def test_against_a_model_that_keeps_every_key(self, events, limit_bytes):
        clock, model = ManualWallClock(), LedgerModel()
        ledger = Ledger(clock=clock, limit_bytes=limit_bytes, answer_limit_bytes=100)
        begun, started = [], []
        for event, key, jump_ms in events:
            clock.time_ms += jump_ms
            if event in ("send", "begin"):
                expiry_ms = model.expiry_ms(key, clock.time_ms)
                decision = self._begin(ledger, model, key, expiry_ms)
                if decision and decision.action == Action.RUN:
                    begun.append(key)
            if event in ("send", "start") and begun:
                self._start(ledger, model, begun.pop(0), started)
            if event in ("send", "end") and started:
                # The answers for the first half of the keys are too large to keep.
                size = 200 if key < "k3" else 5
                ledger.finish(started.pop(), answer("ok", size))
            if event == "refuse":
                rejection = ledger.reject(key, refusal())
                self._record_verdict(model, key, rejection.verdict)
            self.assertLessEqual(ledger.used_bytes, limit_bytes)
        for key, runs in model.runs.items():
            self.assertEqual(runs, 1, key)
            self.assertNotIn(Ran.NOT_RUN, model.returned.get(key, ()))

    def _begin(self, ledger, model, key, expiry_ms):
        try:
            decision = ledger.begin(key_id=key, digest="d", expiry_ms=expiry_ms)
        except (KeyExpiredError, OverloadedError) as error:
            self._record_verdict(model, key, error.verdict())
            return None
        if decision.action == Action.REPLAY:
            self.assertEqual(model.runs[key], 1)
        if decision.action == Action.REFUSE:
            self._record_verdict(model, key, decision.verdict)
        return decision

    def _start(self, ledger, model, key, started):
        try:
            ledger.start(key)
        except LedgerOrderError:
            return
        model.runs[key] = model.runs.get(key, 0) + 1
        started.append(key)

    def _record_verdict(self, model, key, verdict):
        if verdict is None:
            return
        model.returned.setdefault(key, set()).add(verdict.ran)
        if verdict.ran == Ran.RAN:
            self.assertEqual(model.runs[key], 1)

    def _ledger(self, **kwargs):
        self.clock = ManualWallClock()
        return Ledger(clock=self.clock, **{"limit_bytes": 100_000, **kwargs})

    def _begin_new(self, ledger, key, expiry_ms=2000):
        return ledger.begin(key_id=key, digest="d", expiry_ms=expiry_ms)

    def test_a_key_rejected_for_lack_of_memory_stays_rejected(self):
        ledger = self._ledger(limit_bytes=1500)
        self._begin_new(ledger, "first", 1010)
        with self.assertRaises(OverloadedError):
            self._begin_new(ledger, "second", 1050)
        ledger.reject("first", refusal())
        self.clock.time_ms = 1020
        with self.assertRaises(OverloadedError):
            self._begin_new(ledger, "second", 1050)
        self.assertEqual(self._begin_new(ledger, "third", 1070).action, Action.RUN)

    def test_a_request_that_runs_past_its_keys_expiry_is_still_recorded(self):
        ledger = self._ledger()
        self._begin_new(ledger, "slow", 1010)
        ledger.start("slow")
        self.clock.time_ms = 9000
        self.assertEqual(self._begin_new(ledger, "slow", 1010).action, Action.WAIT)
        ledger.finish("slow", answer("late"))
        self.clock.time_ms = 12_000
        with self.assertRaises(KeyExpiredError):
            self._begin_new(ledger, "slow", 1010)
        self.assertEqual(len(ledger), 0)
        self.assertEqual(ledger.used_bytes, 0)

    def test_old_answers_are_dropped_for_new_keys_but_their_outcome_stays(self):
        ledger = self._ledger(limit_bytes=2500)
        self._begin_new(ledger, "old")
        ledger.start("old")
        ledger.finish("old", answer("x", 900))
        self._begin_new(ledger, "new")
        decision = self._begin_new(ledger, "old")
        self.assertEqual(decision.verdict.ran, Ran.RAN)

    def test_different_content_under_a_used_key_is_rejected(self):
        ledger = self._ledger()
        self._begin_new(ledger, "k")
        with self.assertRaises(KeyMismatchError):
            ledger.begin(key_id="k", digest="other", expiry_ms=2000)

    def test_all_waiters_get_the_outcome_and_a_late_answer_replaces_it(self):
        async def scenario():
            ledger = self._ledger()
            self._begin_new(ledger, "k")
            waits = [asyncio.create_task(ledger.wait("k")) for _ in range(3)]
            await asyncio.sleep(0)
            waits[0].cancel()
            ledger.start("k")
            decision = ledger.reject("k", refusal())
            self.assertEqual(decision.verdict.ran, Ran.MAY_HAVE_RUN)
            self.assertEqual(await waits[1], decision)
            self.assertEqual(await waits[2], decision)
            ledger.finish("k", answer("late"))
            return self._begin_new(ledger, "k")

        self.assertEqual(asyncio.run(scenario()).answer, answer("late"))


class FencingTests(unittest.TestCase):
    def test_a_later_incarnation_starts_higher(self):
        old = FencingNumbers(clock=Clock(wall_start_ms=1000))
        used = [old.next() for _ in range(100)]
        new = FencingNumbers(clock=Clock(wall_start_ms=1001))
        self.assertEqual(used, sorted(set(used)))
        self.assertGreater(new.next(), used[-1])

    def test_the_first_refusal_corrects_a_clock_that_was_set_back(self):
        numbers = FencingNumbers(clock=Clock(wall_start_ms=1000))
        numbers.record_refused(fence=numbers.next(), seen_fence=2**50)
        self.assertGreater(numbers.next(), 2**50)

    def test_an_agent_that_was_paused_does_not_fence_off_its_successor(self):
        numbers = FencingNumbers(clock=Clock(wall_start_ms=1000))
        numbers.next()
        numbers.record_accepted()
        with self.assertRaises(SupersededError):
            numbers.record_refused(fence=numbers.next(), seen_fence=2**50)

    def test_an_older_term_is_rejected(self):
        guard = TermGuard()
        guard.admit(Term(number=2, leader="b"))
        guard.admit(Term(number=2, leader="b"))
        for older in (Term(number=1, leader="z"), Term(number=2, leader="a")):
            with self.assertRaises(StaleTermError):
                guard.admit(older)
