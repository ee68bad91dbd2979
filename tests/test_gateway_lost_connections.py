"""Tests which lost connections count as crashes of their targets."""

import asyncio
import contextlib
import socket
from types import SimpleNamespace

from waxwinghold._decisions.crash_suspects import (
    CrashSuspects,
    Reachability,
    RequestContent,
)
from waxwinghold._gateway.connection_pool import ConnectionPool
from waxwinghold._gateway.lost_connections import CHECKS_LIMIT_COUNT, LostConnections
from waxwinghold._metrics import Metrics

from .support.gateway import FakeClock
from .support.loop_case import LoopCase

QUEUE_FILLING_COUNT = 4


class _Target:
    """A target that answers new connections as it is told, after a while."""

    def __init__(self, *reachabilities, name="w0", data_centre="dc-a"):
        self.listing = SimpleNamespace(name=name, data_centre=data_centre)
        self.incarnation = f"{name}/1"
        self.connections = self
        self.is_stalled_now = False
        self.is_leaving_now = False
        self.checks_count = 0
        self._reachabilities = list(reachabilities)
        self.on_check = lambda: None

    async def reachability(self):
        self.checks_count += 1
        self.on_check()
        await asyncio.sleep(0.001)
        return self._reachabilities.pop(0)

    def is_stalled(self, now_ms):
        return self.is_stalled_now

    def is_leaving(self, *, now_ms):
        return self.is_leaving_now


class _Pool(dict):
    """The listed targets by name."""

    def __iter__(self):
        return iter(self.values())


def admitted(call):
    return SimpleNamespace(
        content=RequestContent(call=(call.encode(),)),
        call=SimpleNamespace(request_id=call, shared_parts=()),
    )


class LostConnectionsTests(LoopCase):
    """Sound streams were counted, or crashes were not, by what had arrived of them."""

    def setUp(self):
        super().setUp()
        self.suspects = CrashSuspects()
        self.listed = _Pool()
        self.lost_connections = LostConnections(
            clock=FakeClock(),
            suspects=self.suspects,
            target_pool=self.listed,
            metrics=Metrics(process="gateway-1"),
            spawn=lambda check: self.checks.append(asyncio.create_task(check)),
        )
        self.checks = []

    async def lose(self, target, *calls, is_listed=True, is_begun=True):
        """Lose requests at once, and return how many count."""
        if is_listed:
            self.listed[target.listing.name] = target
        await asyncio.gather(
            *(
                self.lost_connections.record(target, admitted(call), is_begun=is_begun)
                for call in calls
            )
        )
        await asyncio.gather(*self.checks)
        return len(self.suspects.lost_requests())

    async def test_all_that_a_crashed_target_lost_counts_after_one_check(self):
        target = _Target(Reachability.REFUSING)
        self.assertEqual(await self.lose(target, "a", "b", "c"), 3)
        self.assertEqual(target.checks_count, 1)

    async def test_what_a_target_cuts_off_does_not_count(self):
        self.assertEqual(await self.lose(_Target(Reachability.ACCEPTING), "a"), 0)

    async def test_a_target_that_drops_requests_before_it_answers_counts(self):
        # It would reject what its group cannot begin.
        target = _Target(Reachability.ACCEPTING)
        self.assertEqual(await self.lose(target, "a", is_begun=False), 1)
        silent = _Target(*[Reachability.SILENT] * CHECKS_LIMIT_COUNT)
        self.assertEqual(await self.lose(silent, "b", is_begun=False), 1)

    async def test_a_silent_target_is_asked_again_and_has_shown_no_crash(self):
        target = _Target(*[Reachability.SILENT] * CHECKS_LIMIT_COUNT)
        self.assertEqual(await self.lose(target, "a"), 0)
        self.assertEqual(target.checks_count, CHECKS_LIMIT_COUNT)

    async def test_a_first_packet_that_was_lost_does_not_hide_a_crash(self):
        target = _Target(Reachability.SILENT, Reachability.REFUSING)
        self.assertEqual(await self.lose(target, "a"), 1)

    async def test_a_successor_that_accepts_connections_does_not_hide_a_crash(self):
        target = _Target(Reachability.ACCEPTING)
        target.on_check = lambda: setattr(target, "incarnation", "w0/2")
        self.assertEqual(await self.lose(target, "a"), 1)
        (lost,) = self.suspects.lost_requests()
        self.assertEqual(lost.target, "w0/1")

    async def test_a_target_that_ends_by_plan_or_is_stalled_is_not_asked(self):
        for change in ("is_leaving_now", "is_stalled_now", "unlisted"):
            with self.subTest(change):
                target = _Target()
                setattr(target, change, True)
                is_listed = change != "unlisted"
                self.assertEqual(await self.lose(target, "a", is_listed=is_listed), 0)
                self.assertEqual(target.checks_count, 0)

    def list_others(self, *reachabilities, data_centre="dc-a"):
        for number, reachability in enumerate(reachabilities, 1):
            name = f"w{number}"
            self.listed[name] = _Target(
                reachability, name=name, data_centre=data_centre
            )

    async def test_a_data_centre_whose_connections_are_all_reset_shows_no_crash(self):
        # Gateways told each other of each target there, again and again.
        self.list_others(Reachability.REFUSING, Reachability.SILENT)
        self.assertEqual(await self.lose(_Target(Reachability.REFUSING), "a"), 0)

    async def test_a_crash_beside_targets_that_go_on_counts(self):
        self.list_others(Reachability.ACCEPTING, Reachability.REFUSING)
        self.assertEqual(await self.lose(_Target(Reachability.REFUSING), "a"), 1)

    async def test_the_targets_of_other_data_centres_are_not_asked(self):
        self.list_others(*[Reachability.REFUSING] * 2, data_centre="dc-b")
        self.assertEqual(await self.lose(_Target(Reachability.REFUSING), "a"), 1)

    async def test_copies_that_crash_all_targets_of_a_data_centre_count(self):
        targets = [_Target(Reachability.REFUSING, name=f"w{n}") for n in range(3)]
        for target in targets:
            self.listed[target.listing.name] = target
        await asyncio.gather(*(self.lose(target, "a") for target in targets))
        self.assertEqual(len(self.suspects.lost_requests()), 3)
        self.assertEqual([target.checks_count for target in targets], [1, 1, 1])

    async def test_a_request_waits_for_the_check_only_if_it_was_lost_before(self):
        # The pause in a stream that goes on elsewhere is to be short.
        self.assertEqual(await self.lose(_Target(Reachability.REFUSING), "a"), 1)
        for call, is_known in (("b", False), ("a", True)):
            target = self.listed["w0"] = _Target(Reachability.ACCEPTING)
            await self.lost_connections.record(target, admitted(call), is_begun=True)
            self.assertIs(self.checks[-1].done(), is_known)
            await asyncio.gather(*self.checks)

    async def test_a_later_loss_is_checked_anew(self):
        target = _Target(Reachability.ACCEPTING, Reachability.REFUSING)
        self.assertEqual(await self.lose(target, "a"), 0)
        self.assertEqual(await self.lose(target, "b"), 1)


class ReachabilityTests(LoopCase):
    async def test_a_port_tells_whether_its_process_has_ended(self):
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1"
        )
        address = server.sockets[0].getsockname()[:2]
        pool = ConnectionPool(clock=FakeClock(), address=address)
        self.assertIs(await pool.reachability(), Reachability.ACCEPTING)
        server.close()
        await server.wait_closed()
        self.assertIs(await pool.reachability(), Reachability.REFUSING)

    async def test_a_host_that_does_not_respond_is_silent(self):
        # A full queue of new connections gives further ones no answer.
        with contextlib.ExitStack() as sockets:
            listener = sockets.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(QUEUE_FILLING_COUNT):
                waiting = sockets.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            pool = ConnectionPool(clock=FakeClock(), address=listener.getsockname())
            self.assertIs(await pool.reachability(), Reachability.SILENT)
