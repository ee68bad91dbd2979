"""One gateway of a data centre reads the store; nobody believes more than it knows."""

import asyncio
import unittest

import logbook

from waxwinghold._clock import Clock
from waxwinghold._gateway.notices import FORMAT, AskNotice, FreshNotice
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.readers import (
    OWN_READ_AGE_MS,
    StoreReaders,
    UnreadableChangesError,
)
from waxwinghold._gateway.targets import TargetPool

from .map_fakes import run_world

GATEWAYS_COUNT = 13  # Of one data centre, in the largest site that is known.
QUIET_MS = 20_000
HOP_MS = 2.0
ANSWER_MS = 4.0
# What configuration may take; the store's acknowledgement is the start.
CONFIGURATION_LIMIT_MS = 3000.0


class FakeStore:
    """A revision that grows, calls that wait for it, and calls that fail."""

    def __init__(self):
        self.at = 1
        self.calls_count = 0
        self.failing_ips = set()
        self._changed = asyncio.Event()

    def change(self):
        self.at += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(self, ip, at, wait_ms):
        self.calls_count += 1
        await asyncio.sleep(ANSWER_MS / 1000)
        if ip in self.failing_ips:
            raise ConnectionError
        if self.at <= at and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self.at, str(self.at).encode()


class FakeGateway:
    """Reads the store as often as its ``StoreReaders`` say."""

    def __init__(self, *, scene, ip, policy):
        self.scene, self.ip = scene, ip
        self.at = None
        self.known_ms = {}
        self.published = PublishedState(
            clock=scene.clock,
            target_pool=TargetPool(clock=scene.clock),
            grace_ms=2000.0,
        )
        self.readers = StoreReaders(
            clock=scene.clock,
            published=self.published,
            own_ip=ip,
            local_peers=lambda: [one for one in scene.gateways if one != ip],
            send=lambda to, notice: scene.send(ip, to, notice),
            policy=policy,
        )
        self.readers.apply_changes = self.take_changes

    async def run(self):
        while True:
            wait_ms = 0 if self.at is None else await self.readers.wait_until_due()
            asked_ms, after = self.scene.clock.now_ms(), self.at
            try:
                at, answer = await self.scene.store.watch(self.ip, after or 0, wait_ms)
            except ConnectionError as error:
                self.published.record_failure(error)
                await asyncio.sleep(0.3)
                continue
            self.published.record_answer(asked_ms=asked_ms)
            self.take_changes(answer)
            self.readers.record_read(at, after=after, answer=answer)

    def take_changes(self, answer):
        if not answer.isdigit():
            raise UnreadableChangesError(answer.decode())
        self.at = int(answer)
        self.known_ms.setdefault(self.at, self.scene.clock.now_ms())

    def take(self, ip, notice):
        if isinstance(notice, AskNotice):
            self.readers.on_ask(ip, notice)
        else:
            self.readers.on_fresh(ip, notice)


class Scene:
    """Gateways of one data centre in virtual time."""

    def __init__(self, *, policy="first_of_data_centre", count=GATEWAYS_COUNT):
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(read_ns=lambda: int(self.loop.time() * 1e9))
        self.store = FakeStore()
        self.silent_ips = set()
        self.sent_count = 0
        self.gateways = {}
        self.tasks = []
        for number in range(count):
            ip = f"10.0.0.{number + 10}"
            self.gateways[ip] = FakeGateway(scene=self, ip=ip, policy=policy)

    def start(self):
        for gateway in self.gateways.values():
            self.tasks.append(asyncio.create_task(gateway.run()))

    def send(self, ip, to, notice):
        if ip in self.silent_ips or to in self.silent_ips:
            return
        self.sent_count += 1
        self.loop.call_later(HOP_MS / 1000, self._deliver, ip, to, notice)

    def _deliver(self, ip, to, notice):
        if to in self.gateways:
            self.gateways[to].take(ip, notice)

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)

    def ages_ms(self):
        return [gateway.published.age_ms for gateway in self.gateways.values()]

    async def oldest_ms(self, duration_ms):
        """Return the highest age of any gateway within ``duration_ms``."""
        highest_ms = 0.0
        for _ in range(int(duration_ms / 50)):
            await self.sleep_ms(50)
            highest_ms = max(highest_ms, *self.ages_ms())
        return highest_ms

    def close(self):
        for task in self.tasks:
            task.cancel()


def play(act, **fields):
    """Run ``act(scene)`` in virtual time and return what it returns."""

    async def scenario():
        scene = Scene(**fields)
        try:
            return await act(scene)
        finally:
            scene.close()
            await asyncio.sleep(0)

    return run_world(scenario)


class ReadersCase(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)


class LoadTests(ReadersCase):
    """The load: many gateways, a store where little changes."""

    async def _count_calls(self, scene):
        scene.start()
        await scene.sleep_ms(1000)
        before = scene.store.calls_count
        oldest_ms = await scene.oldest_ms(QUIET_MS)
        return scene.store.calls_count - before, oldest_ms

    def test_one_gateway_waits_at_a_quiet_store(self):
        calls_count, oldest_ms = play(self._count_calls)
        naive_count, _ = play(self._count_calls, policy="everyone")
        self.assertLess(calls_count * 10, naive_count)
        self.assertLess(oldest_ms, OWN_READ_AGE_MS)

    async def _change(self, scene, count=1):
        """Return how long the changes took to everyone, and the calls made."""
        scene.start()
        await scene.sleep_ms(5000)
        before = scene.store.calls_count
        for _ in range(count):
            scene.store.change()
            changed_ms = scene.clock.now_ms()
            await scene.sleep_ms(20)
        await scene.sleep_ms(500)
        took_ms = [
            gateway.known_ms[scene.store.at] - changed_ms
            for gateway in scene.gateways.values()
        ]
        return max(took_ms), scene.store.calls_count - before

    def test_a_change_reaches_each_gateway_at_once(self):
        took_ms, calls_count = play(self._change)
        self.assertLess(took_ms, 50)
        self.assertLessEqual(calls_count, 3)

    def test_a_burst_of_changes_is_read_by_one_gateway(self):
        took_ms, calls_count = play(lambda scene: self._change(scene, count=20))
        _, naive_count = play(
            lambda scene: self._change(scene, count=20), policy="everyone"
        )
        self.assertLess(took_ms, 300)
        self.assertLess(calls_count * 10, naive_count)

    def test_changes_without_end_come_in_batches(self):
        """Sixty targets start, and each entry changes at every sign of life."""

        async def act(scene):
            scene.start()
            await scene.sleep_ms(2000)
            sent, calls = scene.sent_count, scene.store.calls_count
            behind = 0
            for _ in range(200):
                scene.store.change()
                await scene.sleep_ms(20)
                lags = [scene.store.at - one.at for one in scene.gateways.values()]
                behind = max(behind, *lags)
            return scene.sent_count - sent, scene.store.calls_count - calls, behind

        sent_count, calls_count, behind = play(act)
        # Five batches a second, each told, asked for and answered.
        batches_count = 4 * 5 + 2
        self.assertLessEqual(calls_count, batches_count)
        self.assertLessEqual(sent_count, 3 * batches_count * GATEWAYS_COUNT)
        self.assertLessEqual(behind * 20, 400)


class TroubleTests(ReadersCase):
    def _play_trouble(self, trouble):
        async def act(scene):
            scene.start()
            await scene.sleep_ms(5000)
            reader = min(scene.gateways)
            trouble(scene, reader)
            await scene.sleep_ms(100)
            scene.store.change()
            changed_ms = scene.clock.now_ms()
            others = [one for ip, one in scene.gateways.items() if ip != reader]
            await scene.sleep_ms(CONFIGURATION_LIMIT_MS)
            took_ms = [
                one.known_ms.get(scene.store.at, float("inf")) - changed_ms
                for one in others
            ]
            ages_ms = []
            for _ in range(100):
                await scene.sleep_ms(100)
                ages_ms += [one.published.age_ms for one in others]
            return max(took_ms), max(ages_ms)

        return play(act)

    def test_a_reader_that_is_gone_is_replaced(self):
        took_ms, age_ms = self._play_trouble(
            lambda scene, reader: scene.silent_ips.add(reader)
        )
        self.assertLess(took_ms, CONFIGURATION_LIMIT_MS)
        self.assertLess(age_ms, OWN_READ_AGE_MS + 2 * ANSWER_MS + 50)

    def test_a_reader_that_the_store_turns_away_is_replaced(self):
        took_ms, age_ms = self._play_trouble(
            lambda scene, reader: scene.store.failing_ips.add(reader)
        )
        self.assertLess(took_ms, CONFIGURATION_LIMIT_MS)
        self.assertLess(age_ms, OWN_READ_AGE_MS + 2 * ANSWER_MS + 50)

    def test_everyone_reads_while_no_notice_arrives(self):
        async def act(scene):
            scene.silent_ips |= scene.gateways.keys()
            scene.start()
            await scene.sleep_ms(1000)
            return await scene.oldest_ms(QUIET_MS)

        self.assertLess(play(act), OWN_READ_AGE_MS + 2 * ANSWER_MS + 50)


class BeliefTests(ReadersCase):
    """A revoked key is found out by nothing that only seems new."""

    def _ask_once(self, scene):
        """Return a gateway that has just asked its reader, and the question."""
        reader, asker = sorted(scene.gateways)
        sent = []
        gateway = scene.gateways[asker]
        gateway.readers._send = lambda ip, notice: sent.append(notice)
        gateway.published.record_answer(asked_ms=scene.clock.now_ms())
        gateway.readers.record_read(7)
        scene.tasks.append(asyncio.create_task(gateway.readers.wait_until_due()))
        return reader, gateway, sent

    def test_an_answer_that_took_long_is_as_old_as_the_question(self):
        async def act(scene):
            reader, gateway, sent = self._ask_once(scene)
            await scene.sleep_ms(1)
            await scene.sleep_ms(1000)
            fresh = FreshNotice(format=FORMAT, echo=sent[0].nonce, at=7, age_ms=100.0)
            gateway.take(reader, fresh)
            return gateway.published.age_ms

        self.assertGreater(play(act, count=2), 1000)

    def test_an_answer_is_believed_once_and_only_with_its_nonce(self):
        async def act(scene):
            reader, gateway, sent = self._ask_once(scene)
            await scene.sleep_ms(200)
            for echo in (0, 1, sent[0].nonce + 1):
                fresh = FreshNotice(format=FORMAT, echo=echo, at=7, age_ms=0.0)
                gateway.take(reader, fresh)
            return gateway.published.age_ms

        self.assertGreaterEqual(play(act, count=2), 200)

    def test_knowledge_of_a_later_revision_makes_ours_no_newer(self):
        async def act(scene):
            reader, gateway, sent = self._ask_once(scene)
            await scene.sleep_ms(200)
            fresh = FreshNotice(format=FORMAT, echo=sent[0].nonce, at=8, age_ms=0.0)
            gateway.take(reader, fresh)
            await scene.sleep_ms(1)
            return gateway.published.age_ms, scene.tasks[0].done()

        age_ms, reads = play(act, count=2)
        self.assertGreaterEqual(age_ms, 200)
        self.assertTrue(reads)

    def test_a_revision_that_the_store_lacks_costs_no_storm_of_calls(self):
        async def act(scene):
            scene.start()
            await scene.sleep_ms(2000)
            before = scene.store.calls_count
            victim = scene.gateways[max(scene.gateways)]
            wrong = FreshNotice(format=FORMAT, echo=0, at=10**9, age_ms=0.0)
            victim.take(min(scene.gateways), wrong)
            await scene.sleep_ms(1000)
            return scene.store.calls_count - before

        self.assertLessEqual(play(act, count=2), 3)

    def test_changes_that_do_not_lead_from_our_revision_are_not_passed_on(self):
        async def act(scene):
            reader, gateway, sent = self._ask_once(scene)
            await scene.sleep_ms(1)
            gateway.readers.record_read(8, after=7, answer=b"8")
            fresh = FreshNotice(
                format=FORMAT, echo=sent[0].nonce, at=9, age_ms=0.0, changes=[b"9"]
            )
            gateway.take(reader, fresh)
            for at in (7, 8):
                gateway.take(reader, AskNotice(format=FORMAT, nonce=5, at=at))
            return [one for one in sent if isinstance(one, FreshNotice)]

        told = play(act, count=2)
        self.assertEqual([(one.at, one.changes) for one in told], [(9, []), (9, [])])

    def test_changes_that_cannot_be_read_set_their_sender_aside(self):
        async def act(scene):
            reader, gateway, sent = self._ask_once(scene)
            await scene.sleep_ms(100)
            fresh = FreshNotice(
                format=FORMAT, echo=sent[0].nonce, at=9, age_ms=0.0, changes=[b"?"]
            )
            gateway.take(reader, fresh)
            await scene.sleep_ms(200)
            return gateway.published.age_ms, scene.tasks[0].done()

        age_ms, reads = play(act, count=2)
        self.assertGreaterEqual(age_ms, 100)
        self.assertTrue(reads)
