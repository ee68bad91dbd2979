"""Tests that sheets are replicated and never replace a newer version."""

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
    """A store and its replicator, connected to others by direct calls."""

    def __init__(self, name, sheet=None):
        self.name = name
        self.clock = ManualClock()
        self.store, self.audit = make_store(self.clock)
        self.replicator = SheetReplicator(store=self.store, clock=self.clock)
        if sheet is not None:
            self.store.offer(sheet, "platform")

    def receive_heartbeat(self, peer):
        """Handle a heartbeat of ``peer`` and exchange the messages that follow."""
        pull = self.replicator.update_peer(
            peer.name, peer.store.version, peer.store.digest
        )
        return self.exchange(pull, peer)

    def exchange(self, pull, peer):
        """Send ``pull`` to ``peer`` and return its answers."""
        answers = []
        while pull is not None and pull.peer == peer.name:
            answer = peer.replicator.answer(decode(encode(pull.message)))
            if answer is None:
                break
            answers.append(answer)
            pull = self.replicator.apply(decode(encode(answer)), peer.name)
        return answers


class ReplicationTests(unittest.TestCase):
    def test_a_delta_updates_a_peer(self):
        old = make_sheet(1, customers=MANY)
        new = replace(old, version=2, customers=MANY[1:])
        ahead, behind = Process("a", old), Process("b", old)
        ahead.store.offer(new, "platform")
        answers = behind.receive_heartbeat(ahead)
        self.assertEqual([type(item) for item in answers], [SheetDelta])
        self.assertEqual(behind.store.digest, sheet_digest(new))
        self.assertEqual(ahead.receive_heartbeat(behind), [])

    def test_a_peer_with_an_unknown_base_gets_the_full_sheet(self):
        ahead = Process("a", make_sheet(5))
        behind = Process("b", make_sheet(2, customers=MANY))
        answers = behind.receive_heartbeat(ahead)
        self.assertEqual([type(item) for item in answers], [SheetFull])
        self.assertEqual(behind.store.version, 5)

    def test_after_a_delta_that_cannot_be_applied_the_full_sheet_is_pulled(self):
        old = make_sheet(1, customers=MANY)
        ahead, behind = Process("a", old), Process("b", old)
        ahead.store.offer(replace(old, version=2, customers=MANY[1:]), "platform")
        pull = SheetPull(have_version=1, have_digest=behind.store.digest)
        delta = ahead.replicator.answer(pull)
        for fault in (
            {"digest": "0" * 16},
            {"patch": b"junk"},
            {"base_digest": "0" * 16},
        ):
            faulty_delta = msgspec.structs.replace(delta, **fault)
            next_pull = behind.replicator.apply(faulty_delta, "a")
            self.assertEqual(
                next_pull.message, SheetPull(have_version=0, have_digest="")
            )
            self.assertEqual(behind.store.version, 1)
        behind.exchange(next_pull, ahead)
        self.assertEqual(behind.store.version, 2)

    def test_a_full_sheet_with_a_wrong_digest_is_rejected_and_not_pulled_again(self):
        behind = Process("b", make_sheet(1))
        ahead = Process("a", make_sheet(2))
        answer = ahead.replicator.answer(SheetPull(have_version=0, have_digest=""))
        faulty_sheet = SheetFull(version=2, digest="0" * 16, document=answer.document)
        self.assertIsNone(behind.replicator.apply(faulty_sheet, "a"))
        self.assertEqual(behind.store.version, 1)
        self.assertIsNone(behind.replicator.update_peer("a", 2, "0" * 16))
        self.assertIn("sheet.refused", [item.what for item in behind.audit.since(0)])

    def test_an_unanswered_pull_is_sent_to_another_peer_after_the_limit(self):
        behind = Process("b", make_sheet(1))
        digest = sheet_digest(make_sheet(2))
        self.assertEqual(behind.replicator.update_peer("a", 2, digest).peer, "a")
        self.assertIsNone(behind.replicator.update_peer("c", 2, digest))
        behind.clock.advance_ms(1001)
        self.assertEqual(behind.replicator.due_pull().peer, "c")

    def test_two_sheets_of_one_version_stay_until_a_higher_version(self):
        left = Process("a", make_sheet(3, customers=MANY[:1]))
        right = Process("b", make_sheet(3, customers=MANY[:2]))
        digests = left.store.digest, right.store.digest
        for _ in range(3):
            self.assertEqual(
                left.receive_heartbeat(right) + right.receive_heartbeat(left), []
            )
        self.assertEqual((left.store.digest, right.store.digest), digests)
        events = [entry.what for entry in left.audit.since(0)]
        self.assertEqual(events.count("sheet_conflict.refused"), 1)
        left.store.offer(make_sheet(4), "platform")
        right.receive_heartbeat(left)
        self.assertEqual(right.store.digest, sheet_digest(make_sheet(4)))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        versions=st.lists(st.integers(0, 4), min_size=4, max_size=4),
        seed=st.integers(0, 2**32),
    )
    def test_heartbeats_in_any_order_bring_all_to_the_top_version(self, versions, seed):
        sheets = {
            version: make_sheet(version, customers=MANY[:version])
            for version in range(1, 5)
        }
        fleet = [Process(str(n), sheets.get(v)) for n, v in enumerate(versions)]
        pairs = [(a, b) for a in fleet for b in fleet if a is not b] * 2
        random.Random(seed).shuffle(pairs)
        for receiver, sender in pairs:
            before = receiver.store.version
            receiver.receive_heartbeat(sender)
            self.assertGreaterEqual(receiver.store.version, before)
            receiver.clock.advance_ms(2000)
        for receiver in fleet:
            for sender in fleet:
                receiver.receive_heartbeat(sender)
                receiver.clock.advance_ms(2000)
        self.assertEqual({process.store.version for process in fleet}, {max(versions)})


class StartingTests(unittest.TestCase):
    def test_a_starting_process_uses_its_peers_sheet_before_the_platform(self):
        process, peer = Process("f"), Process("a", make_sheet(7))
        process.replicator.set_expected_peers(["a"])
        self.assertTrue(process.replicator.is_starting)
        process.receive_heartbeat(peer)
        self.assertFalse(process.replicator.is_starting)
        self.assertFalse(process.store.offer(make_sheet(6), "a stale platform"))
        self.assertEqual(process.store.version, 7)

    def test_without_peers_it_reads_the_platform_after_a_time_limit(self):
        process = Process("f")
        process.replicator.set_expected_peers(["a"])
        process.clock.advance_ms(2999)
        self.assertTrue(process.replicator.is_starting)
        process.clock.advance_ms(1)
        self.assertFalse(process.replicator.is_starting)

    def test_it_does_not_wait_for_peers_that_have_no_sheet(self):
        process, peer = Process("f"), Process("a")
        process.replicator.set_expected_peers(["a"])
        process.receive_heartbeat(peer)
        self.assertFalse(process.replicator.is_starting)

    def test_the_digest_of_most_peers_wins_then_the_lowest_digest(self):
        few = make_sheet(3, customers=MANY[:1])
        many = make_sheet(3, customers=MANY[:2])
        low, high = sorted((few, many), key=sheet_digest)
        for peer_sheets, expected in (((low, high, high), high), ((low, high), low)):
            peers = [Process(str(n), sheet) for n, sheet in enumerate(peer_sheets)]
            process = Process("f")
            process.replicator.set_expected_peers([peer.name for peer in peers])
            for peer in peers:
                self.assertIsNone(process.store.current)
                pull = process.replicator.update_peer(peer.name, 3, peer.store.digest)
            process.exchange(pull, peers[int(pull.peer)])
            self.assertEqual(process.store.digest, sheet_digest(expected))

    def test_a_silent_peer_delays_the_choice_until_a_time_limit(self):
        process, peer = Process("f"), Process("a", make_sheet(3))
        process.replicator.set_expected_peers(["a", "silent"])
        self.assertEqual(process.receive_heartbeat(peer), [])
        process.clock.advance_ms(1500)
        process.exchange(process.replicator.due_pull(), peer)
        self.assertEqual(process.store.version, 3)


class ReaderTests(unittest.TestCase):
    def test_two_of_many_are_readers_and_a_lost_reader_is_replaced(self):
        names = [f"entry-{n}" for n in range(24)]
        readers = [name for name in names if is_reader(name, names, 2)]
        self.assertEqual(len(readers), 2)
        remaining = [name for name in names if name != readers[0]]
        new_readers = [name for name in remaining if is_reader(name, remaining, 2)]
        self.assertEqual(len(new_readers), 2)
        self.assertIn(readers[1], new_readers)

    def test_reads_are_spread_evenly_over_the_processes(self):
        names = [f"entry-{n}" for n in range(23)]
        versions = range(1, 1600 * 16, 16)
        for name in names:
            read_count = sum(
                is_reader(name, names, 2, sheet_version=version) for version in versions
            )
            self.assertLess(abs(read_count / len(versions) - 2 / 23), 0.03, name)

    def test_a_process_without_live_peers_is_a_reader(self):
        self.assertTrue(is_reader("entry-1", (), 2))
