"""Tests of the gateway that reads the store for others, and of the age of their copies.

A copy of the store that seems newer than it is would hide a revoked key.
"""

import asyncio
import unittest
import zlib

import logbook

from waxwinghold._clock import Clock
from waxwinghold._gateway.notices import FORMAT, AskNotice, FragmentNotice, FreshNotice
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.readers import (
    CHANGES_LIMIT_BYTES,
    StoreReaders,
    UnreadableChangesError,
    reader_policy,
)
from waxwinghold._gateway.targets import TargetPool
from waxwinghold.platform.store import ANSWER_LIMIT_MS

from .map_fakes import run_world
from .support.gateway import CONFIGURATION_LIMIT_MS, COPY_LIMITS, limits_within

GATEWAYS_COUNT = 13  # In one data centre of the largest known site.
LARGEST_SITE_COUNT = 98
LOWEST_RATE_COUNT = 2000  # Calls a second that the store of a small site allows.
BURST_COUNT = 20
BURST_INTERVAL_MS = 50.0  # Below the spacing of the reader's calls.
QUIET_MS = 20_000
HOP_MS = 2.0
ANSWER_MS = 4.0


class FakeStore:
    """A store with a growing revision, calls that wait for it, and calls that fail.

    Attributes:
        failing_ips: Gateways whose calls it refuses.
        cut_ips: Gateways that get no answer, also not to calls that wait already.
    """

    def __init__(self):
        self.at = 1
        self.calls_count = 0
        self.calls_ms = []
        self.failing_ips = set()
        self.cut_ips = set()
        self._changed = asyncio.Event()

    def change(self):
        self.at += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(self, ip, at, wait_ms):
        self.calls_count += 1
        self.calls_ms.append(asyncio.get_running_loop().time() * 1000)
        await asyncio.sleep(ANSWER_MS / 1000)
        if ip in self.failing_ips:
            raise ConnectionError
        if self.at <= at and wait_ms and ip not in self.cut_ips:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if ip in self.cut_ips:
            await asyncio.sleep((wait_ms + ANSWER_LIMIT_MS) / 1000)
            raise ConnectionError
        return self.at, str(self.at).encode()


class FakeGateway:
    """Reads the store when its ``StoreReaders`` decides so."""

    def __init__(self, *, simulation, ip, policy):
        self.simulation, self.ip = simulation, ip
        self.at = None
        self.applied_ms = {}
        self.published = PublishedState(
            clock=simulation.clock,
            target_pool=TargetPool(clock=simulation.clock),
            grace_ms=2000.0,
        )
        self.readers = StoreReaders(
            clock=simulation.clock,
            published=self.published,
            own_ip=ip,
            local_peers=lambda: [
                peer_ip for peer_ip in simulation.gateways if peer_ip != ip
            ],
            send=lambda to, notice: simulation.send(ip, to, notice),
            limits=lambda: simulation.limits,
            policy=policy,
        )
        self.readers.apply_changes = self.apply_changes

    async def run(self):
        while True:
            wait_ms = 0 if self.at is None else await self.readers.wait_until_due()
            asked_ms, after = self.simulation.clock.now_ms(), self.at
            try:
                at, answer = await self.simulation.store.watch(
                    self.ip, after or 0, wait_ms
                )
            except ConnectionError as error:
                self.published.record_failure(error)
                await asyncio.sleep(0.3)
                continue
            self.published.record_answer(asked_ms=asked_ms)
            self.apply_changes(answer, at=at)
            self.readers.record_read(at, after=after, answer=answer)

    def apply_changes(self, answer, *, at):
        if not answer.isdigit():
            raise UnreadableChangesError(answer.decode())
        self.at = int(answer)
        self.applied_ms.setdefault(self.at, self.simulation.clock.now_ms())

    def handle_notice(self, ip, notice):
        if isinstance(notice, AskNotice):
            self.readers.on_ask(ip, notice)
        else:
            self.readers.on_fresh(ip, notice)


class Simulation:
    """The gateways of one data centre and their store in virtual time."""

    def __init__(
        self,
        *,
        policy="first_of_data_centre",
        count=GATEWAYS_COUNT,
        limit_ms=CONFIGURATION_LIMIT_MS,
    ):
        self.limits = limits_within(limit_ms)
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(read_ns=lambda: int(self.loop.time() * 1e9))
        self.store = FakeStore()
        self.silent_ips = set()
        self.sent_count = 0
        self.gateways = {}
        self.tasks = []
        for number in range(count):
            ip = f"10.0.0.{number + 10}"
            self.gateways[ip] = FakeGateway(simulation=self, ip=ip, policy=policy)

    def start(self):
        for gateway in self.gateways.values():
            self.tasks.append(asyncio.create_task(gateway.run()))

    def reader(self):
        """Return the address of the gateway that reads for the others."""
        policy = reader_policy.make("first_of_data_centre")
        own_ip, *others = self.gateways
        return policy.choose(own_ip=own_ip, local_peers=others)

    def send(self, ip, to, notice):
        if ip in self.silent_ips or to in self.silent_ips:
            return
        self.sent_count += 1
        self.loop.call_later(HOP_MS / 1000, self._deliver, ip, to, notice)

    def _deliver(self, ip, to, notice):
        if to in self.gateways:
            self.gateways[to].handle_notice(ip, notice)

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)

    def ages_ms(self):
        return [gateway.published.age_ms for gateway in self.gateways.values()]

    async def highest_age_ms(self, duration_ms):
        """Return the highest age of any gateway within ``duration_ms``."""
        highest_ms = 0.0
        for _ in range(int(duration_ms / 50)):
            await self.sleep_ms(50)
            highest_ms = max(highest_ms, *self.ages_ms())
        return highest_ms

    def close(self):
        for task in self.tasks:
            task.cancel()


def simulate(scenario, **fields):
    """Run ``scenario`` on a new simulation in virtual time, and return its result.

    Args:
        fields: Arguments of the ``Simulation``.
    """

    async def run_scenario():
        simulation = Simulation(**fields)
        try:
            return await scenario(simulation)
        finally:
            simulation.close()
            await asyncio.sleep(0)

    return run_world(run_scenario)


class ReadersCase(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)


class LoadTests(ReadersCase):
    """The load of many gateways on the store."""

    async def _count_calls(self, simulation):
        simulation.start()
        await simulation.sleep_ms(1000)
        before = simulation.store.calls_count
        highest_age_ms = await simulation.highest_age_ms(QUIET_MS)
        return simulation.store.calls_count - before, highest_age_ms

    def test_one_gateway_waits_at_an_unchanged_store(self):
        calls_count, highest_age_ms = simulate(self._count_calls)
        baseline_count, _ = simulate(self._count_calls, policy="everyone")
        self.assertLess(calls_count * 10, baseline_count)
        self.assertLess(highest_age_ms, COPY_LIMITS.own_read_age_ms)

    async def _change(self, simulation, count=1):
        """Return the time until all gateways have the changes, and the calls made."""
        simulation.start()
        await simulation.sleep_ms(5000)
        before = simulation.store.calls_count
        for _ in range(count):
            simulation.store.change()
            changed_ms = simulation.clock.now_ms()
            await simulation.sleep_ms(20)
        await simulation.sleep_ms(500)
        took_ms = [
            gateway.applied_ms[simulation.store.at] - changed_ms
            for gateway in simulation.gateways.values()
        ]
        return max(took_ms), simulation.store.calls_count - before

    def test_a_change_reaches_each_gateway_at_once(self):
        took_ms, calls_count = simulate(self._change)
        self.assertLess(took_ms, 50)
        self.assertLessEqual(calls_count, 3)

    def test_a_burst_of_changes_is_read_by_one_gateway(self):
        took_ms, calls_count = simulate(
            lambda simulation: self._change(simulation, count=20)
        )
        _, baseline_count = simulate(
            lambda simulation: self._change(simulation, count=20), policy="everyone"
        )
        self.assertLess(took_ms, 300)
        self.assertLess(calls_count * 10, baseline_count)

    def test_continuous_changes_are_read_in_batches(self):
        """Many targets start, and each heartbeat changes an entry of the store.

        Without batches, each of the changes would be announced, asked for and
        answered on its own.
        """

        async def scenario(simulation):
            simulation.start()
            await simulation.sleep_ms(2000)
            sent, calls = simulation.sent_count, simulation.store.calls_count
            behind = 0
            for _ in range(200):
                simulation.store.change()
                await simulation.sleep_ms(20)
                lags = [
                    simulation.store.at - gateway.at
                    for gateway in simulation.gateways.values()
                ]
                behind = max(behind, *lags)
            return (
                simulation.sent_count - sent,
                simulation.store.calls_count - calls,
                behind,
            )

        sent_count, calls_count, behind = simulate(scenario)
        # Five batches a second, each announced, asked for and answered.
        batches_count = 4 * 5 + 2
        self.assertLessEqual(calls_count, batches_count)
        self.assertLessEqual(sent_count, 3 * batches_count * GATEWAYS_COUNT)
        self.assertLessEqual(behind * 20, 400)


class ReaderFailureTests(ReadersCase):
    def _run_with_fault(self, inject_fault):
        async def scenario(simulation):
            simulation.start()
            await simulation.sleep_ms(5000)
            reader = simulation.reader()
            inject_fault(simulation, reader)
            await simulation.sleep_ms(100)
            simulation.store.change()
            changed_ms = simulation.clock.now_ms()
            followers = [
                gateway for ip, gateway in simulation.gateways.items() if ip != reader
            ]
            await simulation.sleep_ms(CONFIGURATION_LIMIT_MS)
            took_ms = [
                gateway.applied_ms.get(simulation.store.at, float("inf")) - changed_ms
                for gateway in followers
            ]
            ages_ms = []
            for _ in range(100):
                await simulation.sleep_ms(100)
                ages_ms += [gateway.published.age_ms for gateway in followers]
            return max(took_ms), max(ages_ms)

        return simulate(scenario)

    def test_a_silent_reader_is_replaced(self):
        took_ms, age_ms = self._run_with_fault(
            lambda simulation, reader: simulation.silent_ips.add(reader)
        )
        self.assertLess(took_ms, CONFIGURATION_LIMIT_MS)
        self.assertLess(age_ms, COPY_LIMITS.own_read_age_ms + 2 * ANSWER_MS + 50)

    def test_a_reader_that_the_store_rejects_is_replaced(self):
        took_ms, age_ms = self._run_with_fault(
            lambda simulation, reader: simulation.store.failing_ips.add(reader)
        )
        self.assertLess(took_ms, CONFIGURATION_LIMIT_MS)
        self.assertLess(age_ms, COPY_LIMITS.own_read_age_ms + 2 * ANSWER_MS + 50)

    def test_every_gateway_reads_while_no_notice_arrives(self):
        async def scenario(simulation):
            simulation.silent_ips |= simulation.gateways.keys()
            simulation.start()
            await simulation.sleep_ms(1000)
            return await simulation.highest_age_ms(QUIET_MS)

        self.assertLess(
            simulate(scenario), COPY_LIMITS.own_read_age_ms + 2 * ANSWER_MS + 50
        )


class LostViewTests(ReadersCase):
    """Followers believed for too long a reader that no longer saw the store's changes.

    Requests that may run once ran at the old service of a route that had been moved.
    """

    FROZEN_MS = 1200.0

    async def _cut(self, simulation, reader):
        simulation.store.cut_ips.add(reader)

    async def _refuse(self, simulation, reader):
        simulation.store.failing_ips.add(reader)

    async def _silence(self, simulation, reader):
        simulation.silent_ips.add(reader)

    async def _freeze(self, simulation, reader):
        simulation.silent_ips.add(reader)
        simulation.store.cut_ips.add(reader)
        await simulation.sleep_ms(self.FROZEN_MS)
        simulation.silent_ips.discard(reader)

    async def _kill(self, simulation, reader):
        simulation.silent_ips.add(reader)
        simulation.store.cut_ips.add(reader)
        simulation.gateways[reader].readers.reset()
        await simulation.sleep_ms(self.FROZEN_MS)
        simulation.silent_ips.discard(reader)

    def _slowest_ms(self, end_view, *, limit_ms, after_read_ms):
        """Return the longest time that a change takes at a follower.

        Args:
            end_view: Function that ends the reader's view of the store.
            after_read_ms: When it does so, after the reader's last read.
        """

        async def scenario(simulation):
            simulation.start()
            await simulation.sleep_ms(5000)
            # Each call of the reader is answered as soon as it is made.
            for _ in range(BURST_COUNT):
                simulation.store.change()
                await simulation.sleep_ms(BURST_INTERVAL_MS)
            await simulation.sleep_ms(after_read_ms)
            reader = simulation.reader()
            simulation.tasks.append(asyncio.create_task(end_view(simulation, reader)))
            await simulation.sleep_ms(1)
            simulation.store.change()
            changed_ms = simulation.clock.now_ms()
            await simulation.sleep_ms(2 * limit_ms)
            return max(
                gateway.applied_ms.get(simulation.store.at, float("inf")) - changed_ms
                for ip, gateway in simulation.gateways.items()
                if ip != reader
            )

        return simulate(scenario, limit_ms=limit_ms)

    def test_the_followers_of_a_cut_reader_do_not_overload_the_store(self):
        async def scenario(simulation):
            simulation.start()
            await simulation.sleep_ms(5000)
            await self._cut(simulation, simulation.reader())
            simulation.store.calls_ms.clear()
            await simulation.sleep_ms(20_000)
            return simulation.store.calls_ms

        calls_ms = simulate(scenario, count=LARGEST_SITE_COUNT)
        counts = [
            sum(start_ms <= other_ms < start_ms + 1000 for other_ms in calls_ms)
            for start_ms in calls_ms
        ]
        self.assertLess(max(counts), LOWEST_RATE_COUNT / 10)

    def test_a_change_that_the_reader_misses_is_in_force_in_time(self):
        ends = (self._cut, self._refuse, self._silence, self._freeze, self._kill)
        for limit_ms in (2000.0, 3000.0, 4000.0):
            for end_view in ends:
                for after_read_ms in range(0, 1300, 150):
                    with self.subTest(
                        limit_ms=limit_ms,
                        end=end_view.__name__,
                        after_read_ms=after_read_ms,
                    ):
                        took_ms = self._slowest_ms(
                            end_view, limit_ms=limit_ms, after_read_ms=after_read_ms
                        )
                        self.assertLess(took_ms, limit_ms)


class CopyAgeTests(ReadersCase):
    """A copy never seems newer than it is, so that a revoked key is noticed in time."""

    def _ask_once(self, simulation):
        """Let a gateway ask its reader.

        Returns:
            ``(reader's address, gateway, notices that the gateway has sent)``.
        """
        reader = simulation.reader()
        (asker,) = simulation.gateways.keys() - {reader}
        sent = []
        gateway = simulation.gateways[asker]
        gateway.readers._send = lambda ip, notice: sent.append(notice)
        gateway.published.record_answer(asked_ms=simulation.clock.now_ms())
        gateway.readers.record_read(7)
        simulation.tasks.append(asyncio.create_task(gateway.readers.wait_until_due()))
        return reader, gateway, sent

    def test_the_age_of_a_copy_counts_from_the_ask_and_not_from_the_answer(self):
        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(1)
            await simulation.sleep_ms(1000)
            fresh = FreshNotice(format=FORMAT, echo=sent[0].nonce, at=7, age_ms=100.0)
            gateway.handle_notice(reader, fresh)
            return gateway.published.age_ms

        self.assertGreater(simulate(scenario, count=2), 1000)

    def test_the_wait_for_large_changes_counts_from_their_own_announcement(self):
        """It counted from the arrival of the changes before them."""

        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(1)

            def tell(at, **fields):
                fresh = FreshNotice(format=FORMAT, at=at, age_ms=0.0, **fields)
                gateway.handle_notice(reader, fresh)

            tell(8, echo=0)
            await simulation.sleep_ms(50)
            tell(8, echo=sent[-1].nonce, is_queued=True)
            await simulation.sleep_ms(250)
            tell(9, echo=0)
            announced_ms = simulation.clock.now_ms()
            await simulation.sleep_ms(400)
            fragment = FragmentNotice(
                format=FORMAT,
                echo=sent[-1].nonce,
                at=8,
                age_ms=0.0,
                package=1,
                number=0,
                count=1,
                data=zlib.compress(b"8"),
            )
            gateway.readers.on_fragment(reader, fragment)
            task = simulation.tasks[-1]
            while not task.done():
                await simulation.sleep_ms(10)
                tell(9, echo=sent[-1].nonce, is_queued=True)
            return gateway.at, simulation.clock.now_ms() - announced_ms

        at, waited_ms = simulate(scenario, count=2)
        self.assertEqual(at, 8)
        self.assertLess(waited_ms, COPY_LIMITS.large_wait_ms + 50)

    def test_changes_that_cannot_be_passed_on_are_not_kept(self):
        async def scenario(simulation):
            gateway = simulation.gateways[simulation.reader()]
            readers = gateway.readers
            readers.record_read(7)
            readers.record_read(8, after=7, answer=b"8")
            long_answer = b"9" * (CHANGES_LIMIT_BYTES + 1)
            for at in range(8, 20):
                readers.record_read(at + 1, after=at, answer=long_answer)
            readers.record_read(21, after=20, answer=b"21")
            kept_bytes = sum(len(answer) for _, _, answer in readers._changes)
            since = [readers._changes_since(at) for at in (7, 19, 20, 21)]
            return kept_bytes, since

        kept_bytes, since = simulate(scenario, count=1)
        self.assertLess(kept_bytes, CHANGES_LIMIT_BYTES)
        self.assertEqual(since, [[], [], [b"21"], []])

    def test_an_answer_with_another_nonce_is_ignored(self):
        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(200)
            for echo in (0, 1, sent[0].nonce + 1):
                fresh = FreshNotice(format=FORMAT, echo=echo, at=7, age_ms=0.0)
                gateway.handle_notice(reader, fresh)
            return gateway.published.age_ms

        self.assertGreaterEqual(simulate(scenario, count=2), 200)

    def test_an_announced_later_revision_does_not_refresh_the_copy(self):
        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(200)
            fresh = FreshNotice(format=FORMAT, echo=sent[0].nonce, at=8, age_ms=0.0)
            gateway.handle_notice(reader, fresh)
            await simulation.sleep_ms(1)
            return gateway.published.age_ms, simulation.tasks[0].done()

        age_ms, reads = simulate(scenario, count=2)
        self.assertGreaterEqual(age_ms, 200)
        self.assertTrue(reads)

    def test_a_revision_that_the_store_does_not_have_causes_few_calls(self):
        async def scenario(simulation):
            simulation.start()
            await simulation.sleep_ms(2000)
            before = simulation.store.calls_count
            follower = simulation.gateways[max(simulation.gateways)]
            wrong = FreshNotice(format=FORMAT, echo=0, at=10**9, age_ms=0.0)
            follower.handle_notice(simulation.reader(), wrong)
            await simulation.sleep_ms(1000)
            return simulation.store.calls_count - before

        self.assertLessEqual(simulate(scenario, count=2), 3)

    def test_changes_received_from_a_peer_are_not_passed_on(self):
        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(1)
            gateway.readers.record_read(8, after=7, answer=b"8")
            fresh = FreshNotice(
                format=FORMAT, echo=sent[0].nonce, at=9, age_ms=0.0, changes=[b"9"]
            )
            gateway.handle_notice(reader, fresh)
            for at in (7, 8):
                gateway.handle_notice(reader, AskNotice(format=FORMAT, nonce=5, at=at))
            return [notice for notice in sent if isinstance(notice, FreshNotice)]

        answers = simulate(scenario, count=2)
        self.assertEqual(
            [(notice.at, notice.changes) for notice in answers], [(9, []), (9, [])]
        )

    def test_the_sender_of_unreadable_changes_is_excluded(self):
        async def scenario(simulation):
            reader, gateway, sent = self._ask_once(simulation)
            await simulation.sleep_ms(100)
            fresh = FreshNotice(
                format=FORMAT, echo=sent[0].nonce, at=9, age_ms=0.0, changes=[b"?"]
            )
            gateway.handle_notice(reader, fresh)
            await simulation.sleep_ms(200)
            return gateway.published.age_ms, simulation.tasks[0].done()

        age_ms, reads = simulate(scenario, count=2)
        self.assertGreaterEqual(age_ms, 100)
        self.assertTrue(reads)
