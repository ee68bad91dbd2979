"""Tracks the newest incarnation of each agent of a group."""

import asyncio

import logbook

from ..._messages.maps import MapJoin, MapJoinReply
from .waiting import wait_event

log = logbook.Logger("waxwinghold.maps")


class Incarnations:
    """This agent's incarnation, and the newest incarnations of its peers.

    An incarnation joins the group in two steps: every peer confirms that it
    rejects the earlier incarnations of this agent, and then the leases expire
    that these may still hold. An incarnation that has joined retires when it
    learns of a newer one.

    Args:
        number: A number that is higher than that of any earlier incarnation.
        peers: Names of the other agents of the group.
        on_restart: Called with the name of a peer that has restarted.

    Attributes:
        joined: Whether this incarnation takes part in the protocol.
        retired: Whether it has stopped because of a newer one.
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
        self._joined_before = False
        self._newest = {}
        self._replies = {}
        self._replied = asyncio.Event()

    async def join(self):
        """Join the group, and return the ``MapJoinReply`` of every peer."""
        self.joined = False
        self._replies = {}
        while not self.retired and len(self._replies) < len(self._peers):
            for name in self._peers:
                if name not in self._replies:
                    self._send(
                        name, MapJoin(group=self._group, incarnation=self.number)
                    )
            self._replied.clear()
            await wait_event(self._replied, self._clock, self._timing.retry_ms)
        if not self._joined_before:
            await self._clock.sleep_ms(self._timing.join_wait_ms)
        self._joined_before = True
        return list(self._replies.values())

    def is_superseded(self, name, number):
        """Return whether a newer incarnation of the agent is known."""
        return number < self._newest.get(name, 0)

    def retire(self, reason):
        """Stop taking part in the protocol."""
        if not self.retired:
            log.info("group {}: this agent retires: {}", self._group, reason)
        self.retired = True
        self.joined = False
        self._replied.set()

    def on_join(self, name, join, *, granted, target):
        """Reject earlier incarnations of a peer from now on, and answer it."""
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
        """Record a reply to this agent's own ``MapJoin``."""
        if reply.incarnation != self.number:
            return
        if reply.newest > self.number:
            self._on_newer(reply.newest)
            return
        self._replies[name] = reply
        if len(self._replies) == len(self._peers):
            self._replied.set()

    def _on_newer(self, newest):
        if self._joined_before:
            self.retire(f"incarnation {newest} is known")
            return
        # This incarnation is the newer one, although its number is lower: the
        # host's clock was set back before it started.
        self.number = newest + 1
        self._replies = {}
