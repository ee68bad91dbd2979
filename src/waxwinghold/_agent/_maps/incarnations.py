"""Which start of each agent of a group is the newest."""

import asyncio

import logbook

from ..._messages.maps import MapJoin, MapJoinReply
from .waiting import wait_event

log = logbook.Logger("waxwinghold.maps")


class Incarnations:
    """This agent's incarnation, and the newest of the others.

    An incarnation joins by having every other agent retire its predecessors,
    and then outlasts the leases that they may still hold. One that learns of
    a successor acts no more.

    Args:
        number: A number that is higher than that of any earlier start.
        peers: Names of the other agents of the group.
        on_restart: Called with the name of an agent that has started anew.
    """

    def __init__(self, *, group, number, peers, send, clock, timing, on_restart):
        self.number = number
        self.joined = False
        self.retired = False
        self._group = group
        self._peers = tuple(peers)
        self._send = send
        self._clock = clock
        self._timing = timing
        self._on_restart = on_restart
        self._has_joined = False
        self._newest = {}
        self._replies = {}
        self._news = asyncio.Event()

    async def join(self):
        """Return the ``MapJoinReply`` of every other agent."""
        self.joined = False
        self._replies = {}
        while not self.retired and len(self._replies) < len(self._peers):
            for name in self._peers:
                if name not in self._replies:
                    self._send(
                        name, MapJoin(group=self._group, incarnation=self.number)
                    )
            self._news.clear()
            await wait_event(self._news, self._clock, self._timing.retry_ms)
        if not self._has_joined:
            await self._clock.sleep_ms(self._timing.join_wait_ms)
        self._has_joined = True
        return list(self._replies.values())

    def is_superseded(self, name, number):
        """Return whether a newer incarnation than ``number`` is known."""
        return number < self._newest.get(name, 0)

    def retire(self, reason):
        """Act no more."""
        if not self.retired:
            log.info("group {}: this agent stands back: {}", self._group, reason)
        self.retired = True
        self.joined = False
        self._news.set()

    def on_join(self, name, join, *, granted, target):
        """Retire the predecessors of an agent's incarnation, and answer it."""
        if join.incarnation > self._newest.get(name, 0):
            self._newest[name] = join.incarnation
            self._on_restart(name)
        reply = MapJoinReply(
            group=self._group,
            incarnation=join.incarnation,
            newest=self._newest[name],
            granted=granted,
            target=target,
        )
        self._send(name, reply)

    def on_join_reply(self, name, reply):
        """Take in an answer to this agent's own ``MapJoin``."""
        if reply.incarnation != self.number:
            return
        if reply.newest > self.number:
            self._yield_to(reply.newest)
            return
        self._replies[name] = reply
        if len(self._replies) == len(self._peers):
            self._news.set()

    def _yield_to(self, newest):
        if self._has_joined:
            self.retire(f"incarnation {newest} is known")
            return
        # This start is the newer one: the host's clock was set back before it.
        self.number = newest + 1
        self._replies = {}
