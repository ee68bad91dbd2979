"""Tests of targets whose notices have stopped while those of their group go on."""

import unittest

from waxwinghold._decisions.target_choice import target_policy
from waxwinghold._gateway.admission_queue import service_state
from waxwinghold._gateway.targets import TargetPool

from .support.gateway import FakeClock
from .test_gateway_seats import listing, rank_notice

SILENCE_MS = 1500.0


class CutOffRankTests(unittest.TestCase):
    """Gateways sent requests to ranks that a cut had taken away.

    Their slots looked free while those of the other group were taken, so that requests
    were lost there, one target after the other.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.pool = TargetPool(clock=self.clock)
        self.pool.replace([listing("w0"), listing("w1")])
        for number in (0, 1):
            self.pool.update_rank(rank_notice(number))

    def fall_silent(self, *, is_open):
        """Let only rank 0 send notices for a while."""
        self.clock.time_ms += SILENCE_MS
        self.pool.update_rank(rank_notice(0, sequence=2, step=30, is_open=is_open))

    def choose(self):
        policy = target_policy.make("least_held", data_centre="dc-a")
        now_ms = self.clock.now_ms()
        targets = self.pool.of_service("models")
        return policy.choose(targets, tried=frozenset(), now_ms=now_ms)

    def state(self):
        now_ms = self.clock.now_ms()
        return service_state(self.pool.of_service("models"), now_ms=now_ms)

    def test_a_silent_rank_of_a_closed_group_gets_no_request(self):
        self.fall_silent(is_open=False)
        self.assertIsNone(self.choose())

    def test_a_service_whose_groups_are_all_closed_counts_as_closed(self):
        self.fall_silent(is_open=False)
        self.assertTrue(self.state().closed)

    def test_a_silent_rank_of_an_open_group_gets_requests_if_no_other_can(self):
        # Only its agent has failed: the group would be closed without the rank.
        self.fall_silent(is_open=True)
        now_ms = self.clock.now_ms()
        self.pool.get("w0").avoid(now_ms=now_ms, pause_ms=1000.0)
        self.assertEqual(self.choose().listing.name, "w1")

    def test_a_group_that_no_rank_tells_of_may_be_tried(self):
        # The gateway itself may be cut off from all agents.
        self.fall_silent(is_open=False)
        self.clock.time_ms += SILENCE_MS
        self.assertIsNotNone(self.choose())
