"""The agent's membership in its target's group: links to peers, map, rebalancing."""

from dataclasses import dataclass

import logbook

from .._links import LinkDownError
from ._maps import HttpEngineOrders, MapCoordinator

log = logbook.Logger("waxwinghold.maps")


@dataclass(frozen=True, kw_only=True)
class GroupDefinition:
    """The members of a group, as the sheet defines them.

    Args:
        name: The group's name.
        members: Names of all agents of the group, sorted.
    """

    name: str
    members: tuple[str, ...]


class GroupMembership:
    """Runs this agent's part in the group that the sheet assigns to its target.

    It is also the handler of the links to the other agents of the group.

    Args:
        process: The ``AgentProcess``.
        order_client: The ``OrderClient`` that sends orders to the engine.
        make_rebalancer: Returns a ``Rebalancer`` for this ``GroupMembership``.

    Attributes:
        coordinator: The ``MapCoordinator``; ``None`` without a group.
        rebalancer: The ``Rebalancer``; ``None`` without a group.
    """

    def __init__(self, *, process, order_client, make_rebalancer):
        self._process = process
        self._order_client = order_client
        self._make_rebalancer = make_rebalancer
        self._definition = None
        self._links = {}
        self._rows = {}
        self._tasks = {}
        self.coordinator = None
        self.rebalancer = None

    @property
    def name(self):
        """The group's name; empty without a group."""
        return self._definition.name if self._definition else ""

    @property
    def members(self):
        """Names of all agents of the group, sorted."""
        return self._definition.members if self._definition else ()

    def live_members(self):
        """Return the names of the members that can be reached, this one included."""
        own = self._process.settings.name
        return tuple(
            name
            for name in self.members
            if name == own or (name in self._links and self._links[name].up)
        )

    def apply(self, index):
        """Apply a new sheet: update the links, and rejoin if the group changed."""
        target = index.targets.get(self._process.settings.name)
        rows = index.targets_by_group.get(target.group, ()) if target else ()
        if not target or not target.group:
            rows = ()
        self._update_links({row.name: row for row in rows})
        names = tuple(sorted(row.name for row in rows))
        definition = GroupDefinition(name=target.group, members=names) if rows else None
        if definition != self._definition:
            self._definition = definition
            self._restart()

    def send(self, name, message):
        """Send to another agent of the group; the message may be lost."""
        link = self._links.get(name)
        if link is None:
            return
        try:
            link.send(message)
        except LinkDownError:
            log.debug('message to "{}" lost: the link is down', name)

    def dispatch(self, name, message):
        """Pass a message from a member to the coordinator and the rebalancer.

        Each of them ignores messages that are meant for the other.
        """
        if self.coordinator is None or getattr(message, "group", "") != self.name:
            return
        self.coordinator.on_message(name, message)
        self.rebalancer.on_message(name, message)

    def on_up(self, link):
        """Log that a member can be reached."""
        log.debug('agent "{}" of the group is up', link.name)

    def on_down(self, link):
        """Log that a member cannot be reached."""
        log.info('agent "{}" of the group is down', link.name)

    def on_heartbeat(self, link, heartbeat):
        """Do nothing, as the link has recorded the heartbeat."""

    def on_leaving(self, link, message):
        """Log that a member is leaving."""
        log.info('agent "{}" of the group is leaving', link.name)

    def on_message(self, link, message):
        """Handle a message that a member sends over this agent's own link."""
        self.dispatch(link.name, message)

    def status(self):
        """Return the state of the group in plain types, for the agent's status."""
        if self.coordinator is None:
            return {}
        member = self.coordinator.member
        return {
            "group": self.name,
            "map": member.target.map_id if member.target else "",
            "map_settled": member.in_sync,
            "members_up": len(self.live_members()),
            "members": len(self.members),
        }

    def _restart(self):
        """Replace the coordinator and the rebalancer after a change of the group."""
        # ``_tasks`` also holds the tasks of the links, under the agents' names, so no
        # agent may have one of these keys as its name. Keep the keys, as another
        # key would forbid another name.
        for name in ("keeper", "rebalancer"):
            task = self._tasks.pop(name, None)
            if task is not None:
                task.cancel()
        self.coordinator = self.rebalancer = None
        if self._definition is None:
            return
        self.rebalancer = self._make_rebalancer(self)
        self.coordinator = MapCoordinator(
            name=self._process.settings.name,
            group=self.name,
            members=self.members,
            incarnation=self._process.clock.wall_ms(),
            engine=HttpEngineOrders(order_client=self._order_client),
            send=self.send,
            clock=self._process.clock,
            plan=self.rebalancer.first_map,
        )
        self._tasks["keeper"] = self._process.spawn(
            self._run_coordinator(self.coordinator)
        )
        self._tasks["rebalancer"] = self._process.spawn(self.rebalancer.run())

    async def _run_coordinator(self, coordinator):
        await coordinator.run()
        if coordinator.incarnations.retired:
            self._process.drain(
                reason="a newer agent of this name is in its group",
                by=self._process.settings.name,
            )

    def _update_links(self, rows):
        """Close links to former members and open links to new ones."""
        rows.pop(self._process.settings.name, None)
        for name in list(self._links):
            if not _has_same_endpoint(self._rows[name], rows.get(name)):
                del self._links[name], self._rows[name]
                self._tasks.pop(name).cancel()
        for name, row in rows.items():
            if name not in self._links:
                self._open_link(row)

    def _open_link(self, row):
        link = self._process.open_link(
            handler=self,
            name=row.name,
            address=row.agent_address,
            public_key=row.agent_public_key,
        )
        self._links[row.name] = link
        self._rows[row.name] = row
        self._tasks[row.name] = self._process.spawn(link.run())


def _has_same_endpoint(old, new):
    """Return whether both rows exist with the same address and public key."""
    if new is None:
        return False
    return (old.agent_address, old.agent_public_key) == (
        new.agent_address,
        new.agent_public_key,
    )
