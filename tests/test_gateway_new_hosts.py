"""Replays hosts that join a data centre with lower addresses than all others.

A duty that goes to the lowest address would move with each of them, to a process that
has only just started.
"""

import asyncio
import math
import random

from waxwinghold._gateway.readers import reader_policy

from .support.gateway import CONFIGURATION_LIMIT_MS, COPY_LIMITS
from .test_gateway_readers import (
    ANSWER_MS,
    GATEWAYS_COUNT,
    FakeGateway,
    FakeStore,
    ReadersCase,
    Simulation,
    simulate,
)

NEW_HOSTS_COUNT = 6
JOIN_INTERVAL_MS = 3000.0
SETTLING_MS = 5000.0
SAMPLE_MS = 50.0


class RecordingStore(FakeStore):
    """Remembers which gateways wait for changes.

    Attributes:
        waits: ``(time in ms, address)`` of each call that may wait.
    """

    def __init__(self):
        super().__init__()
        self.waits = []

    async def watch(self, ip, at, wait_ms):
        if wait_ms:
            self.waits.append((asyncio.get_running_loop().time() * 1000, ip))
        return await super().watch(ip, at, wait_ms)


def join(simulation, ip):
    """Start a gateway that all others hear at once."""
    gateway = FakeGateway(simulation=simulation, ip=ip, policy="first_of_data_centre")
    simulation.gateways[ip] = gateway
    simulation.tasks.append(asyncio.create_task(gateway.run()))


class ShareTests(ReadersCase):
    """Whatever addresses hosts have, new ones become readers by their share only."""

    FLEETS_COUNT = 2000

    def test_new_hosts_become_readers_by_their_share(self):
        rng = random.Random(1)
        policy = reader_policy.make("first_of_data_centre")
        moved_count = 0
        for _ in range(self.FLEETS_COUNT):
            network = rng.randrange(2, 250)
            old = [
                f"10.{network}.0.{number}"
                for number in rng.sample(range(100, 250), GATEWAYS_COUNT)
            ]
            new = [
                f"10.{network - 1}.0.{number}"
                for number in rng.sample(range(1, 100), NEW_HOSTS_COUNT)
            ]
            reader = policy.choose(own_ip=old[0], local_peers=old[1:])
            moved_count += policy.choose(own_ip=reader, local_peers=old + new) in new
        share = NEW_HOSTS_COUNT / (GATEWAYS_COUNT + NEW_HOSTS_COUNT)
        # Four standard deviations of a fair choice.
        spread = 4 * math.sqrt(share * (1 - share) / self.FLEETS_COUNT)
        self.assertLess(moved_count / self.FLEETS_COUNT, share + spread)


class LowerAddressesTests(ReadersCase):
    def play(self, ips, *, changes=False, limit_ms=CONFIGURATION_LIMIT_MS):
        """Let hosts join one after the other.

        Returns:
            ``(readers, highest_age_ms, calls_count, lags_ms)``: the addresses that
            waited at the store, in order and without repetitions; the highest age of
            the copy of a gateway that was there before; calls to the store of all;
            and how long each change took to be in force at those gateways.
        """

        async def scenario(simulation: Simulation):
            store = simulation.store = RecordingStore()
            veterans = list(simulation.gateways.values())
            simulation.start()
            await simulation.sleep_ms(SETTLING_MS)
            store.waits.clear()
            before = store.calls_count
            await simulation.sleep_ms(JOIN_INTERVAL_MS)
            highest_ms, changed_ms = 0.0, {}
            for ip in ips:
                join(simulation, ip)
                if changes:
                    store.change()
                    changed_ms[store.at] = simulation.clock.now_ms()
                for _ in range(int(JOIN_INTERVAL_MS / SAMPLE_MS)):
                    await simulation.sleep_ms(SAMPLE_MS)
                    ages_ms = [gateway.published.age_ms for gateway in veterans]
                    highest_ms = max(highest_ms, *ages_ms)
            readers = []
            for _, ip in store.waits:
                if not readers or readers[-1] != ip:
                    readers.append(ip)
            lags_ms = [
                gateway.applied_ms.get(at, math.inf) - since_ms
                for at, since_ms in changed_ms.items()
                for gateway in veterans
            ]
            return readers, highest_ms, store.calls_count - before, lags_ms

        return simulate(scenario, limit_ms=limit_ms)

    def lower(self):
        """Return addresses, each lower than all before, as numbers and as text."""
        return [f"1.0.0.{9 - number}" for number in range(NEW_HOSTS_COUNT)]

    def test_the_reader_does_not_change_with_each_new_host(self):
        readers, *_ = self.play(self.lower())
        hosts_count = GATEWAYS_COUNT + NEW_HOSTS_COUNT
        share_count = math.ceil(NEW_HOSTS_COUNT / hosts_count)
        self.assertLessEqual(len(readers) - 1, share_count, readers)

    def test_the_reader_does_not_change_for_higher_addresses(self):
        readers, *_ = self.play(
            [f"20.0.0.{number}" for number in range(NEW_HOSTS_COUNT)]
        )
        self.assertEqual(len(readers), 1, readers)

    def test_no_copy_gets_older_than_its_limit(self):
        """Otherwise callers with keys are rejected while hosts join."""
        _, highest_ms, *_ = self.play(self.lower())
        self.assertLess(highest_ms, COPY_LIMITS.own_read_age_ms + 2 * ANSWER_MS + 50)

    def test_a_change_is_in_force_at_once_while_hosts_join(self):
        *_, lags_ms = self.play(self.lower(), changes=True)
        self.assertLess(max(lags_ms), 500)

    def test_calls_to_the_store_grow_with_the_new_hosts_only(self):
        """Each new host reads the store once; nobody else reads more than before."""
        during_ms = NEW_HOSTS_COUNT * JOIN_INTERVAL_MS
        for limit_ms, wait_ms in ((3000.0, 1000.0), (2000.0, 500.0)):
            with self.subTest(limit_ms=limit_ms):
                *_, calls_count, _ = self.play(self.lower(), limit_ms=limit_ms)
                *_, quiet_count, _ = self.play([], limit_ms=limit_ms)
                waits_count = math.ceil(during_ms / wait_ms) + 1
                limit_count = quiet_count + waits_count + 2 * NEW_HOSTS_COUNT
                self.assertLessEqual(calls_count, limit_count)
