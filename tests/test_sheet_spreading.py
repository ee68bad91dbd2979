"""Sheets spread between processes and never replace a newer one."""

import random
import unittest
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._messages import SheetDelta, SheetFull, SheetPull, decode, encode
from waxwinghold._sheet import SheetReplicator, is_reader, sheet_digest

from .sheet_builder import ManualClock, make_customer, make_sheet, make_store

MANY = tuple(make_customer(f"customer-{n}") for n in range(50))


class Process:
    """A store and its spreader, joined to others by plain calls."""

    def __init__(self, name, sheet=None):
        self.name = name
        self.clock = ManualClock()
        self.store, self.audit = make_store(self.clock)
        self.replicator = SheetReplicator(store=self.store, clock=self.clock)
        if sheet is not None:
            self.store.offer(sheet, "platform")

    def hear(self, other):
        """Take in a heartbeat of ``other`` and exchange what follows from it."""
        pull = self.replicator.update_peer(
            other.name, other.store.version, other.store.digest
        )
        return self.exchange(pull, other)

    def exchange(self, pull, other):
        """Send ``pull`` to ``other`` and return the answers that came back."""
        answers = []
        while pull is not None and pull.peer == other.name:
            answer = other.replicator.answer(decode(encode(pull.message)))
            if answer is None:
                break
            answers.append(answer)
            pull = self.replicator.apply(decode(encode(answer)), other.name)
        return answers


class SpreadTests(unittest.TestCase):
    def test_a_delta_brings_a_peer_up_to_date(self):
        old = make_sheet(1, customers=MANY)
        new = replace(old, version=2, customers=MANY[1:])
        ahead, behind = Process("a", old), Process("b", old)
        ahead.store.offer(new, "platform")
        answers = behind.hear(ahead)
        self.assertEqual([type(item) for item in answers], [SheetDelta])
        self.assertEqual(behind.store.digest, sheet_digest(new))
        self.assertEqual(ahead.hear(behind), [])

    def test_an_unknown_base_leads_to_the_whole_sheet(self):
        ahead = Process("a", make_sheet(5))
        behind = Process("b", make_sheet(2, customers=MANY))
        answers = behind.hear(ahead)
        self.assertEqual([type(item) for item in answers], [SheetFull])
        self.assertEqual(behind.store.version, 5)

    def test_a_delta_that_does_not_fit_leads_to_the_whole_sheet(self):
        old = make_sheet(1, customers=MANY)
        ahead, behind = Process("a", old), Process("b", old)
        ahead.store.offer(replace(old, version=2, customers=MANY[1:]), "platform")
        pull = SheetPull(have_version=1, have_digest=behind.store.digest)
        good = ahead.replicator.answer(pull)
        for broken in (
            {"digest": "0" * 16},
            {"patch": b"junk"},
            {"base_digest": "0" * 16},
        ):
            wrong = msgspec.structs.replace(good, **broken)
            again = behind.replicator.apply(wrong, "a")
            self.assertEqual(again.message, SheetPull(have_version=0, have_digest=""))
            self.assertEqual(behind.store.version, 1)
        behind.exchange(again, ahead)
        self.assertEqual(behind.store.version, 2)

    def test_a_whole_sheet_with_another_digest_is_refused_and_not_pulled_again(self):
        behind = Process("b", make_sheet(1))
        ahead = Process("a", make_sheet(2))
        answer = ahead.replicator.answer(SheetPull(have_version=0, have_digest=""))
        wrong = SheetFull(version=2, digest="0" * 16, document=answer.document)
        self.assertIsNone(behind.replicator.apply(wrong, "a"))
        self.assertEqual(behind.store.version, 1)
        self.assertIsNone(behind.replicator.update_peer("a", 2, "0" * 16))
        self.assertIn("sheet.refused", [item.what for item in behind.audit.since(0)])

    def test_an_unanswered_pull_goes_to_another_peer_after_its_limit(self):
        behind = Process("b", make_sheet(1))
        digest = sheet_digest(make_sheet(2))
        self.assertEqual(behind.replicator.update_peer("a", 2, digest).peer, "a")
        self.assertIsNone(behind.replicator.update_peer("c", 2, digest))
        behind.clock.advance_ms(1001)
        self.assertEqual(behind.replicator.due_pull().peer, "c")

    def test_two_sheets_under_one_version_stay_until_a_higher_one_heals(self):
        left = Process("a", make_sheet(3, customers=MANY[:1]))
        right = Process("b", make_sheet(3, customers=MANY[:2]))
        digests = left.store.digest, right.store.digest
        for _ in range(3):
            self.assertEqual(left.hear(right) + right.hear(left), [])
        self.assertEqual((left.store.digest, right.store.digest), digests)
        whats = [item.what for item in left.audit.since(0)]
        self.assertEqual(whats.count("sheet_conflict.refused"), 1)
        left.store.offer(make_sheet(4), "platform")
        right.hear(left)
        self.assertEqual(right.store.digest, sheet_digest(make_sheet(4)))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        versions=st.lists(st.integers(0, 4), min_size=4, max_size=4),
        seed=st.integers(0, 2**32),
    )
    def test_heartbeats_in_any_order_bring_all_to_the_highest(self, versions, seed):
        sheets = {
            version: make_sheet(version, customers=MANY[:version])
            for version in range(1, 5)
        }
        fleet = [Process(str(n), sheets.get(v)) for n, v in enumerate(versions)]
        order = [(a, b) for a in fleet for b in fleet if a is not b] * 2
        random.Random(seed).shuffle(order)
        for behind, ahead in order:
            before = behind.store.version
            behind.hear(ahead)
            self.assertGreaterEqual(behind.store.version, before)
            behind.clock.advance_ms(2000)
        for behind in fleet:
            for ahead in fleet:
                behind.hear(ahead)
                behind.clock.advance_ms(2000)
        self.assertEqual({item.store.version for item in fleet}, {max(versions)})


class FreshTests(unittest.TestCase):
    def test_it_takes_the_peers_sheet_before_it_trusts_the_platform(self):
        fresh, peer = Process("f"), Process("a", make_sheet(7))
        fresh.replicator.set_expected_peers(["a"])
        self.assertTrue(fresh.replicator.is_starting)
        fresh.hear(peer)
        self.assertFalse(fresh.replicator.is_starting)
        self.assertFalse(fresh.store.offer(make_sheet(6), "a stale platform"))
        self.assertEqual(fresh.store.version, 7)

    def test_alone_it_trusts_the_platform_after_a_bounded_time(self):
        fresh = Process("f")
        fresh.replicator.set_expected_peers(["a"])
        fresh.clock.advance_ms(2999)
        self.assertTrue(fresh.replicator.is_starting)
        fresh.clock.advance_ms(1)
        self.assertFalse(fresh.replicator.is_starting)

    def test_peers_that_hold_nothing_do_not_keep_it_waiting(self):
        fresh, peer = Process("f"), Process("a")
        fresh.replicator.set_expected_peers(["a"])
        fresh.hear(peer)
        self.assertFalse(fresh.replicator.is_starting)

    def test_the_digest_that_most_peers_hold_wins_then_the_lowest(self):
        few = make_sheet(3, customers=MANY[:1])
        many = make_sheet(3, customers=MANY[:2])
        low, high = sorted((few, many), key=sheet_digest)
        for holders, expected in (((low, high, high), high), ((low, high), low)):
            peers = [Process(str(n), sheet) for n, sheet in enumerate(holders)]
            fresh = Process("f")
            fresh.replicator.set_expected_peers([peer.name for peer in peers])
            for peer in peers:
                self.assertIsNone(fresh.store.current)
                pull = fresh.replicator.update_peer(peer.name, 3, peer.store.digest)
            fresh.exchange(pull, peers[int(pull.peer)])
            self.assertEqual(fresh.store.digest, sheet_digest(expected))

    def test_a_silent_peer_holds_the_choice_up_for_a_bounded_time(self):
        fresh, peer = Process("f"), Process("a", make_sheet(3))
        fresh.replicator.set_expected_peers(["a", "silent"])
        self.assertEqual(fresh.hear(peer), [])
        fresh.clock.advance_ms(1500)
        fresh.exchange(fresh.replicator.due_pull(), peer)
        self.assertEqual(fresh.store.version, 3)


class ReaderTests(unittest.TestCase):
    def test_a_few_of_many_read_and_a_lost_reader_is_replaced(self):
        names = [f"entry-{n}" for n in range(24)]
        readers = [name for name in names if is_reader(name, names, 2)]
        self.assertEqual(len(readers), 2)
        left = [name for name in names if name != readers[0]]
        after = [name for name in left if is_reader(name, left, 2)]
        self.assertEqual(len(after), 2)
        self.assertIn(readers[1], after)

    def test_each_process_bears_its_part_of_the_reading(self):
        names = [f"entry-{n}" for n in range(23)]
        versions = range(1, 1600 * 16, 16)
        for name in names:
            read_count = sum(
                is_reader(name, names, 2, sheet_version=version) for version in versions
            )
            self.assertLess(abs(read_count / len(versions) - 2 / 23), 0.03, name)

    def test_a_process_that_knows_no_other_reads(self):
        self.assertTrue(is_reader("entry-1", (), 2))
