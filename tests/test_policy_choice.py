"""Target choice: which candidates are usable, and how they are compared."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from waxwinghold._messages import Report
from waxwinghold._policy import Candidate, ChoiceRequest, choice_policy
from waxwinghold._policy.registry import UnknownPolicyError

POLICIES = ("round_robin", "least_reported", "weighed")


def make_candidate(name, *, waiting=0, running=0, step_ms=10.0, **fields):
    report = Report(
        waiting_count=waiting, running_count=running, slots_count=4, step_ms=step_ms
    )
    defaults = {"data_centre": "nadi", "slots_count": 4, "report": report}
    return Candidate(name=name, **(defaults | fields))


def make_policy(name="weighed", seed=1, **arguments):
    return choice_policy.make(name, rng=random.Random(seed), **arguments)


def choose_many(policy, candidates, *, count=200, **fields):
    request = ChoiceRequest(data_centre="nadi", steps_count=20, **fields)
    chosen = Counter()
    for _ in range(count):
        chosen[policy.choose(candidates, request=request, now_ms=0).name] += 1
    return chosen


class ChoiceTests(unittest.TestCase):
    def test_every_policy_chooses_only_usable_candidates(self):
        candidates = [
            make_candidate("a", healthy=False),
            make_candidate("b"),
            make_candidate("c"),
        ]
        for name in POLICIES:
            with self.subTest(policy=name):
                chosen = choose_many(
                    make_policy(name), candidates, tried=frozenset({"b"})
                )
                self.assertEqual(set(chosen), {"c"})
                request = ChoiceRequest(data_centre="nadi", required_target="a")
                none = make_policy(name).choose(candidates, request=request, now_ms=0)
                self.assertIsNone(none)

    def test_the_error_names_an_unknown_policy(self):
        with self.assertRaisesRegex(UnknownPolicyError, '"best"'):
            choice_policy.make("best")

    def test_equal_seeds_give_equal_choices(self):
        candidates = [make_candidate(str(number)) for number in range(9)]
        runs = [choose_many(make_policy(seed=3), candidates) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])


class WeighedTests(unittest.TestCase):
    def test_an_idle_target_does_not_get_most_requests(self):
        candidates = [make_candidate(str(number), running=4) for number in range(8)]
        candidates[0] = make_candidate("idle")
        baseline = choose_many(make_policy("least_reported"), candidates)
        weighed = choose_many(make_policy(), candidates)
        self.assertEqual(baseline["idle"], 200)
        self.assertLess(weighed["idle"], 100)

    def test_own_requests_since_the_report_are_counted(self):
        idle = make_candidate("a")
        loaded = make_candidate("b", local_in_flight_count=8)
        chosen = choose_many(make_policy(), [idle, loaded], count=4)
        self.assertEqual(set(chosen), {"a"})

    def test_own_requests_in_the_report_are_counted_once(self):
        candidate = make_candidate(
            "a",
            running=4,
            waiting=2,
            local_in_flight_count=6,
            in_flight_at_report_count=6,
        )
        policy = make_policy()
        choose_many(policy, [candidate])
        # With the new request there are 7 requests for 4 slots, so it waits for 3/4 of
        # the 200 ms that a request runs.
        wait_ms = policy.wait_ms(candidate, now_ms=0)
        self.assertAlmostEqual(wait_ms, 0.75 * 200, delta=0.1)

    def test_a_remote_target_is_chosen_only_when_it_is_faster(self):
        local = make_candidate("local")
        remote = make_candidate("remote", data_centre="suva", link_delay_ms=0.5)
        self.assertEqual(set(choose_many(make_policy(), [local, remote])), {"local"})
        busy = replace(local, local_in_flight_count=12)
        self.assertEqual(set(choose_many(make_policy(), [busy, remote])), {"remote"})

    def test_a_prefix_stays_at_its_target_until_that_is_busy(self):
        candidates = [make_candidate(str(number)) for number in range(8)]
        policy = make_policy()
        chosen = {prefix: Counter() for prefix in "abcdefgh"}
        for _ in range(50):
            for prefix, counts in chosen.items():
                counts += choose_many(policy, candidates, count=1, prefix=prefix)
        stayed = sum(max(counts.values()) for counts in chosen.values())
        self.assertGreaterEqual(stayed, 200)
        name = max(chosen["a"], key=chosen["a"].get)
        index = int(name)
        candidates[index] = replace(candidates[index], local_in_flight_count=16)
        chosen = choose_many(policy, candidates, count=10, prefix="a")
        self.assertNotIn(name, chosen)

    def test_a_single_prefix_does_not_overload_one_target(self):
        candidates = [make_candidate(str(number)) for number in range(8)]
        chosen = choose_many(make_policy(), candidates, prefix="a")
        self.assertLessEqual(max(chosen.values()), 2 * 200 / 8)

    def test_entries_choose_the_same_target_for_a_new_prefix(self):
        candidates = [make_candidate(str(number)) for number in range(8)]
        chosen_counts = Counter()
        for seed in range(8):
            chosen_counts += choose_many(
                make_policy(seed=seed), candidates, count=1, prefix="a"
            )
        self.assertGreaterEqual(max(chosen_counts.values()), 4)
