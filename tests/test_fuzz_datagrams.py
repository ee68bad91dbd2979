"""Fuzzes what gateways and rank agents read of each other's datagrams.

Whatever arrives, nothing happens but a dropped notice and a counted log line: neither
the notice itself nor what is done later with its values raises an error.
"""

import asyncio
import types
import unittest
import zlib

import logbook
import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from waxwinghold._decisions.crash_suspects import CrashSuspects
from waxwinghold._gateway import notices
from waxwinghold._gateway.model import Target, TargetState
from waxwinghold._gateway.notices import (
    FORMAT,
    AskCountsNotice,
    CountedRank,
    CountsNotice,
    FragmentNotice,
    FreshNotice,
    GatewayNotice,
    RankNotice,
    encoder,
)
from waxwinghold._gateway.peers import Peers
from waxwinghold._gateway.readers import StoreReaders
from waxwinghold._gateway.settings import GatewaySettings
from waxwinghold._gateway.targets import TargetPool
from waxwinghold._ranks.agent import RankAgent
from waxwinghold._ranks.model import GroupShape, RankReport
from waxwinghold._ranks.port import RankPort
from waxwinghold._ranks.settings import RankSettings

from .support.fuzz import ANY_SPEED, broken, instances
from .support.gateway import COPY_LIMITS, FakeClock

GROUP = "g/0"
RANKS_COUNT = 3
SIZES = (2, RANKS_COUNT, 6)
KNOWN = {
    "format": (FORMAT,),
    "group": (GROUP,),
    "epoch": (1,),
    "address": tuple(f"127.0.7.{rank + 1}:80" for rank in range(RANKS_COUNT)),
    "rank": tuple(range(RANKS_COUNT)),
    "size": (RANKS_COUNT,),
    "born_ms": (0,),
    "sizes": (SIZES,),
    "kind": ("arm", "hold", "go", "prepare"),
    "is_open": (True,),
}
NOTICES = st.one_of([instances(kind, **KNOWN) for kind in notices.Notice.__args__])
SENDERS = st.sampled_from(("127.0.7.1", "127.0.7.2", "127.0.9.9"))
RECEIVED = st.lists(st.tuples(SENDERS, NOTICES), min_size=1, max_size=6)
BROKEN = broken(NOTICES.map(encoder.encode)) | st.binary(max_size=200)


class RecordingTransport:
    """Takes datagrams to IP addresses; other receivers would end the real one."""

    def sendto(self, data, address):
        parts = address[0].split(".")
        if len(parts) != 4 or not all(part.isdigit() for part in parts):
            raise AssertionError(f"datagram to {address[0]!r}")


def rank_notice(rank, **fields):
    defaults = {
        "format": FORMAT,
        "address": f"127.0.7.{rank + 1}:80",
        "started_ms": 1,
        "sequence": 1,
        "born_ms": 0,
        "group": GROUP,
        "epoch": 1,
        "rank": rank,
        "size": RANKS_COUNT,
        "is_open": True,
        "step": 1,
        "map_version": 1,
        "prepared": None,
        "armed": None,
        "held": None,
        "orders_count": 0,
        "running_count": 3,
        "waiting_count": 3,
        "pace": 1.0,
    }
    return RankNotice(**(defaults | fields))


def counts_notice(rank, *, held=None, **fields):
    counted = CountedRank(
        rank=rank,
        born_ms=0,
        map_version=1,
        held=[[2 * rank, 2 * rank + 1]] * 2 if held is None else held,
    )
    defaults = {
        "format": FORMAT,
        "group": GROUP,
        "epoch": 1,
        "number": 1,
        "block": rank,
        "ranks": [counted],
        "scales": [1.0, 1.0],
        "grown": [bytes((60, 10, 10, 10, 10, 60))] * 2,
    }
    return CountsNotice(**(defaults | fields))


def ask_counts(**fields):
    defaults = {
        "format": FORMAT,
        "group": GROUP,
        "epoch": 1,
        "number": 1,
        "block": 0,
        "known_version": None,
        "ranks": [],
    }
    return AskCountsNotice(**(defaults | fields))


class DatagramCase(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.clock = FakeClock()

    def receive(self, endpoint, received):
        for ip, notice in received:
            endpoint.datagram_received(encoder.encode(notice), (ip, 1))
            self.clock.time_ms += 60.0


class GatewayTests(DatagramCase):
    def peers(self):
        pool = TargetPool(clock=self.clock)
        pool.grouped_services = frozenset({"ranks"})
        pool.replace(
            [
                Target(
                    name=f"rank-{rank}",
                    service="ranks",
                    address=(f"127.0.7.{rank + 1}", 80),
                    data_centre="dc-a",
                    slots_count=4,
                    state=TargetState.READY,
                    born_ms=0,
                )
                for rank in range(RANKS_COUNT)
            ]
        )
        settings = GatewaySettings(
            name="gateway-0",
            data_centre="dc-a",
            callers_address="127.0.0.1:1",
            readiness_address="127.0.0.1:2",
            store_address="127.0.0.1:3",
            peers_ip="127.0.0.1",
            peers_port=4,
            seeds=["127.0.0.2:4"],
        )
        peers = Peers(
            clock=self.clock,
            settings=settings,
            target_pool=pool,
            waiting_counts=dict,
            suspects=CrashSuspects(),
            lost_version=lambda: 0,
        )
        peers.connection_made(RecordingTransport())
        return peers, pool

    @ANY_SPEED
    @given(RECEIVED)
    @example([("127.0.9.9", GatewayNotice(FORMAT, "x", "d", 1, 1, ["\0"], {}, {}))])
    @example([("127.0.9.9", GatewayNotice(FORMAT, "x", "d", 1, 1, ["a.b"], {}, {}))])
    # Hexadecimal digits and colons alone are no address, or none of this network.
    @example([("127.0.9.9", GatewayNotice(FORMAT, "x", "d", 1, 1, ["a:b"], {}, {}))])
    @example([("127.0.9.9", GatewayNotice(FORMAT, "x", "d", 1, 1, ["::1"], {}, {}))])
    def test_any_notices_leave_the_gateway_able_to_send_and_choose(self, received):
        peers, pool = self.peers()
        self.receive(peers, received)
        self.use(peers, pool)

    @ANY_SPEED
    @given(BROKEN)
    def test_bytes_that_are_no_notice_are_counted(self, data):
        peers, pool = self.peers()
        peers.datagram_received(data, ("127.0.9.9", 1))
        try:
            msgspec.msgpack.decode(data, type=notices.Notice)
        except (msgspec.DecodeError, RecursionError):
            self.assertEqual(peers.malformed_count, 1)
        self.use(peers, pool)

    def use(self, peers, pool):
        """Do with the values of notices what a gateway does."""
        now_ms = self.clock.now_ms()
        for target in pool:
            pool.group_pace(target)
            pool.relative_pace(target)
            target.is_usable(now_ms=now_ms)
            target.free_slots_count(now_ms=now_ms)
            target.is_closed(now_ms=now_ms)
        peers.waiting_count("ranks")
        self.assertLessEqual(0, peers.newest_lost_version)
        peers._send_notices()
        self.clock.time_ms += 10_000.0
        peers._drop_silent_peers()
        peers._send_notices()


class SilentPort(RankPort):
    """A rank that answers nothing."""

    async def report(self):
        return None

    async def expert_counts(self, *, sets_count):
        return []

    async def resident_experts(self):
        return 0, []

    async def send_order(self, order):
        return True


def make_agent(clock):
    """Return the agent of rank 0, whose datagrams go nowhere."""
    agent = RankAgent(
        clock=clock,
        settings=RankSettings(
            name="agent-0",
            data_centre="dc-a",
            target_address="127.0.7.1:80",
            service="ranks",
            store_address="127.0.0.1:3",
            peers_ip="127.0.7.1",
            peers_port=4,
        ),
        port=SilentPort(),
        make_port=lambda address: SilentPort(),
        directory=None,
    )
    agent.connection_made(RecordingTransport())
    agent.map_balancer.shape = GroupShape(
        sets_count=2,
        experts_count=6,
        expert_slots_count=4,
        spare_count=2,
        slots_count=2,
        expert_share=0.85,
        expert_copy_ms=1.0,
    )
    return agent


class RankAgentTests(DatagramCase):
    def own_report(self):
        return RankReport(
            born_ms=0,
            group=GROUP,
            epoch=1,
            rank=0,
            size=RANKS_COUNT,
            is_open=True,
            step=1,
            map_version=1,
            prepared=None,
            armed=None,
            held=None,
            orders_count=0,
            running_count=3,
            waiting_count=3,
        )

    @ANY_SPEED
    @given(RECEIVED)
    @example([("127.0.7.2", rank_notice(1, sequence=2, pace=1e308))])
    @example([("127.0.7.2", rank_notice(7, sequence=2))])
    @example([("127.0.7.2", counts_notice(1, scales=[], grown=[], held=[]))])
    @example([("127.0.7.2", counts_notice(1, grown=[b"", b""]))])
    @example([("127.0.7.2", counts_notice(1, held=[[2, 6], [2, 3]]))])
    @example([("127.0.7.2", counts_notice(1, held=[[2, 3]]))])
    @example([("127.0.7.2", counts_notice(1, scales=[1e12, 0.0]))])
    @example([("127.0.7.2", counts_notice(7))])
    @example([("127.0.7.2", counts_notice(1, block=2**53, ranks=[]))])
    @example([("127.0.7.2", ask_counts(ranks=[1, 7]))] * 6)
    def test_any_notices_leave_the_agent_able_to_send_and_plan(self, received):
        asyncio.run(self.run_agent(received))

    @ANY_SPEED
    @given(BROKEN)
    def test_bytes_that_are_no_notice_are_counted(self, data):
        agent = make_agent(self.clock)
        agent.datagram_received(data, ("127.0.9.9", 1))
        try:
            msgspec.msgpack.decode(data, type=notices.Notice)
        except (msgspec.DecodeError, RecursionError):
            self.assertEqual(agent.metrics._counts["malformed_notices"], 1)

    def test_a_rank_outside_the_group_does_not_complete_it(self):
        asyncio.run(self.run_agent([], ranks=(1, 7)))

    async def run_agent(self, received, ranks=(1, 2)):
        """Let the agent of rank 0 get notices, and do what its tasks do with them."""
        agent = make_agent(self.clock)
        agent._notice_sender.send_rank_notice(self.own_report())
        for rank in ranks:
            agent.handle_notice(f"127.0.7.{rank + 1}", rank_notice(rank))
        for number in range(6):  # More than ``DIRECT_GATEWAYS_COUNT`` gateways.
            agent._notice_sender.record_gateway(f"127.0.9.{number}", data_centre="dc-a")
        for _ in range(2):
            for rank in (0, *ranks):
                agent.handle_notice("127.0.7.1", counts_notice(rank))
            self.clock.time_ms += 60.0
        self.receive(agent, received)
        await agent.map_balancer._plan()
        agent._notice_sender.send_group_notice()
        agent._notice_sender.send_rank_notice(self.own_report())
        agent._is_deputy()
        agent.leader.is_unfinished()
        agent.view.is_complete()
        agent.tasks.cancel()
        await asyncio.sleep(0)


class ReadersTests(DatagramCase):
    def readers(self, sent):
        published = types.SimpleNamespace(age_ms=100.0, asked_ms=0.0, answers_ms=[])
        published.record_answer = lambda asked_ms: published.answers_ms.append(asked_ms)
        readers = StoreReaders(
            clock=self.clock,
            published=published,
            own_ip="127.0.0.9",
            local_peers=lambda: ["127.0.0.1"],
            send=lambda ip, notice: sent.append(notice),
            limits=lambda: COPY_LIMITS,
        )
        readers.apply_changes = lambda answer, *, at: None
        return readers, published

    @ANY_SPEED
    @given(instances(FreshNotice, format=(FORMAT,), at=(5, 6)), st.booleans())
    @example(FreshNotice(FORMAT, 0, 5, float("nan")), True)
    @example(FreshNotice(FORMAT, 0, 5, -1e9), True)
    def test_no_readers_copy_makes_the_own_one_younger_than_it_is(
        self, notice, is_answer
    ):
        sent = []
        readers, published = self.readers(sent)
        readers.record_read(5)
        readers._ask("127.0.0.1")
        asked_ms = self.clock.now_ms()
        self.clock.time_ms += 10.0
        if is_answer:
            notice = msgspec.structs.replace(notice, echo=sent[-1].nonce)
        try:
            notice = notices.decoder.decode(encoder.encode(notice))
        except msgspec.ValidationError:
            return
        readers.on_fresh("127.0.0.1", notice)
        for answer_ms in published.answers_ms:
            self.assertLessEqual(answer_ms, asked_ms)
            self.assertLessEqual(asked_ms - COPY_LIMITS.own_read_age_ms, answer_ms)

    @ANY_SPEED
    @given(
        st.lists(
            instances(
                FragmentNotice,
                format=(FORMAT,),
                at=(5, 6),
                package=(1, 2),
                number=(0, 1),
                count=(1, 2),
                data=(zlib.compress(b"{}"),),
            ),
            min_size=1,
            max_size=4,
        )
    )
    @example([FragmentNotice(FORMAT, 0, 6, -1e9, 1, 0, 1, zlib.compress(b"{}"))])
    @example([FragmentNotice(FORMAT, 0, 6, float("nan"), 1, 0, 1, b"x")])
    def test_no_fragments_make_the_own_copy_younger_than_their_arrival(self, received):
        sent = []
        readers, published = self.readers(sent)
        readers.record_read(5)
        readers._ask("127.0.0.1")
        self.clock.time_ms += 10.0
        for notice in received:
            notice = msgspec.structs.replace(notice, echo=sent[-1].nonce)
            try:
                notice = notices.decoder.decode(encoder.encode(notice))
            except msgspec.ValidationError:
                continue
            readers.on_fragment("127.0.0.1", notice)
        for answer_ms in published.answers_ms:
            self.assertLessEqual(answer_ms, self.clock.now_ms())


if __name__ == "__main__":
    unittest.main()
