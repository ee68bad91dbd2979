"""A gateway's records of all targets that the platform lists."""

import logbook

from .._decisions.connections import idle_limit_count
from .._decisions.evacuations import Evacuations
from .._decisions.target_signals import TargetSignals, credible_hints
from .cold_tracking import ColdTracking
from .permits import Permits
from .tracked_target import TrackedTarget

log = logbook.Logger("targets")

# Longer than the interval at which gateways repeat it.
LEAVING_HINT_MS = 1000.0
LIMIT_LOG_INTERVAL_MS = 1000.0  # Per group; a limit may come and go with the load.


class TargetPool:
    """The records of all targets that the platform lists.

    Attributes:
        listeners: Functions that are called when a slot may have become free.
        grouped_services: Names of the services whose targets are ranks of groups.
        limits_passes: Whether groups have a limit of running requests.
        pass_goals: The ``PassGoal`` of services whose groups have a limit, by service.
        connection_limits: How many connections a target accepts from all gateways
            together, by service.
        signals: The ``TargetSignals`` of all targets, also of those no longer listed.
        permits: The ``Permits`` for targets that have named a limit.
        evacuations: The ``Evacuations``.
        cold_tracking: The ``ColdTracking`` of all targets.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._targets = {}
        self._targets_by_service = {}
        self._targets_by_address = {}
        self.listeners = []
        self.grouped_services = frozenset()
        self.limits_passes = False
        self.pass_goals = {}
        self.connection_limits = {}
        self.signals = TargetSignals()
        self.evacuations = Evacuations()
        self.cold_tracking = ColdTracking(clock=clock)
        self.permits = Permits(clock=clock, cold=self.cold_tracking.cold)
        self.permits.listeners.append(self.notify_listeners)
        self._paces = {}
        self._group_positions = {}
        self._stalled_groups = {}
        self._progress = {}
        self._limit_logs = {}  # Whether a limit was logged, and when, by group.

    def __iter__(self):
        return iter(self._targets.values())

    def get(self, name):
        """Return the ``TrackedTarget`` called ``name``, or ``None``."""
        return self._targets.get(name)

    def of_service(self, service):
        """Return the ``TrackedTarget`` objects of ``service``."""
        return self._targets_by_service.get(service, ())

    def replace(self, listings):
        """Replace all targets with those of a new list.

        Args:
            listings: All ``Target`` objects that the platform lists now.
        """
        listed = {listing.name: listing for listing in listings}
        for name in self._targets.keys() - listed.keys():
            target = self._targets.pop(name)
            target.connections.close()
            log.info("target no longer listed", extra={"target": name})
        for name, listing in listed.items():
            self._update_listing(name, listing)
        by_service = {}
        for target in self._targets.values():
            by_service.setdefault(target.listing.service, []).append(target)
        self._targets_by_service = by_service
        self.cold_tracking.record_listings(self._targets.values())
        self._targets_by_address = {
            f"{target.listing.address[0]}:{target.listing.address[1]}": target
            for target in self._targets.values()
        }
        self.notify_listeners()

    def has_ranks(self, service):
        """Return whether targets of ``service`` are ranks of groups."""
        return service in self.grouped_services

    def group_pace(self, target):
        """Return the pace of the slowest rank in the group of ``target``.

        All ranks of a group start each step together, so one slow rank slows down
        the whole group.

        Returns:
            How many times slower than usual the rank steps; 1.0 is the usual pace.
        """
        return self._group_paces(target)[1]

    def relative_pace(self, target):
        """Return how many times slower ``target`` is than its group's fastest rank."""
        return target.pace / self._group_paces(target)[0]

    def lowest_running_limit(self):
        """Return the lowest limit of running requests of a group; 0 without one."""
        now_ms = self._clock.now_ms()
        limits = (
            progress.limit_count
            for progress in self._progress.values()
            if progress.room_count(now_ms=now_ms) is not None
        )
        return min(limits, default=0)

    def longest_pass_ms(self):
        """Return the longest mean pass of a group; 0 if none was measured recently."""
        now_ms = self._clock.now_ms()
        passes_ms = (
            progress.meter.pass_ms(now_ms=now_ms)
            for progress in self._progress.values()
        )
        return max((pass_ms or 0.0 for pass_ms in passes_ms), default=0.0)

    def _group_paces(self, target):
        """Return the lowest and the highest pace in the group of ``target``."""
        if target.rank_notice is None:
            return 1.0, 1.0
        return self._paces.get(target.rank_notice.group, (1.0, 1.0))

    def update_rank(self, notice, *, sender_ip=None):
        """Apply a ``RankNotice`` to the target at its address.

        Args:
            sender_ip: Address of the sender. Only an agent on the target's own host
                can announce that the target leaves.
        """
        target = self._targets_by_address.get(notice.address)
        if target is None:
            return
        now_ms = self._clock.now_ms()
        self.cold_tracking.record_rank(
            target, born_ms=notice.born_ms, sender_ip=sender_ip
        )
        previous = target.rank_notice
        target.progress = self._progress.setdefault(notice.group, target.progress)
        target.progress.counts_loads = target.listing.service in self.pass_goals
        if target.update_rank(notice, now_ms=now_ms):
            self._log_stall(target, now_ms)
            self.notify_listeners()
        current = target.rank_notice
        if current is notice:
            self._update_limit(target, notice, now_ms)
        if notice.is_leaving and sender_ip == target.listing.address[0]:
            self._record_leaving_rank(target, notice, now_ms)
        if previous is None or (previous.group, previous.pace) != (
            current.group,
            current.pace,
        ):
            self._update_paces(current.group)

    def update_group(self, notice):
        """Apply a ``GroupNotice`` to all targets of its group."""
        position = (notice.started_ms, notice.sequence)
        if position <= self._group_positions.get(notice.group, (0, 0)):
            return
        self._group_positions[notice.group] = position
        entries = {entry[0]: entry for entry in notice.ranks}
        now_ms = self._clock.now_ms()
        is_changed = False
        has_new_pace = False
        member = None
        for target in self._targets.values():
            rank_notice = target.rank_notice
            if rank_notice is None or (rank_notice.group, rank_notice.epoch) != (
                notice.group,
                notice.epoch,
            ):
                continue
            entry = entries.get(rank_notice.rank)
            if entry is None:
                continue
            member = target
            target.progress.counts_loads = target.listing.service in self.pass_goals
            previous_pace = target.pace
            if target.update_group(notice, entry, now_ms=now_ms):
                self._log_stall(target, now_ms)
                is_changed = True
            has_new_pace = has_new_pace or target.pace != previous_pace
        if member is not None:
            self._update_limit(member, notice, now_ms)
        if has_new_pace:
            self._update_paces(notice.group)
        if is_changed:
            self.notify_listeners()

    def avoid_leaving(self, incarnations):
        """Avoid targets for a moment because another gateway calls them leaving.

        Args:
            incarnations: Their names with their incarnations.
        """
        now_ms = self._clock.now_ms()
        hinted_by_service = {}
        for incarnation in incarnations:
            target = self._targets.get(incarnation.partition("/")[0])
            if target is not None and target.incarnation == incarnation:
                hinted = hinted_by_service.setdefault(target.listing.service, [])
                hinted.append(target.listing.name)
        for service, hinted in hinted_by_service.items():
            targets_count = len(self._targets_by_service.get(service, ()))
            for name in credible_hints(hinted, targets_count=targets_count):
                self._targets[name].avoid(now_ms=now_ms, pause_ms=LEAVING_HINT_MS)

    def _record_leaving_rank(self, target, notice, now_ms):
        if notice.born_ms != target.listing.born_ms or notice is not target.rank_notice:
            return
        service = target.listing.service
        fleet = [other.incarnation for other in self._targets_by_service[service]]
        if self.signals.record_agent_word(
            target.incarnation, fleet=fleet, now_ms=now_ms
        ):
            details = {"target": target.listing.name, "group": notice.group}
            log.info("rank agent announced that its target leaves", extra=details)

    def _log_stall(self, target, now_ms):
        """Log that a group stalled or resumed, once for all of its ranks."""
        stalled = target.is_stalled(now_ms)
        if self._stalled_groups.get(target.rank_notice.group, False) == stalled:
            return
        self._stalled_groups[target.rank_notice.group] = stalled
        log.info(
            "group stalled" if stalled else "group resumed",
            extra={
                "target": target.listing.name,
                "group": target.rank_notice.group,
                "open": target.rank_notice.is_open,
                "step": target.rank_notice.step,
            },
        )

    def _update_limit(self, target, notice, now_ms):
        """Update the limit of the target's group, and log whether there is one."""
        goal = self.pass_goals.get(target.listing.service)
        progress = target.progress
        progress.update_limit(step=notice.step, goal=goal, now_ms=now_ms)
        is_limited = progress.limit_count is not None
        was_limited, logged_ms = self._limit_logs.get(notice.group, (False, 0.0))
        if is_limited == was_limited or now_ms - logged_ms < LIMIT_LOG_INTERVAL_MS:
            return
        self._limit_logs[notice.group] = is_limited, now_ms
        pass_ms = progress.meter.pass_ms(now_ms=now_ms)
        log.info(
            "group limit begins" if is_limited else "group limit ends",
            extra={
                "group": notice.group,
                "limit": progress.limit_count,
                "running": progress.running_count,
                "slots": progress.slots_count,
                "pass_ms": pass_ms and round(pass_ms, 1),
            },
        )

    def _update_paces(self, group):
        paces = [
            target.pace
            for target in self._targets.values()
            if target.rank_notice is not None and target.rank_notice.group == group
        ]
        self._paces[group] = (min(paces), max(paces))

    def notify_listeners(self):
        """Call the listeners: a slot may have become free."""
        for listener in self.listeners:
            listener()

    def drop_expired_connections(self, *, gateways_count):
        """Close idle connections that are too old, or more than their targets allow.

        Args:
            gateways_count: Gateways that keep connections to the targets.
        """
        for target in self._targets.values():
            listing = target.listing
            target.connections.idle_limit_count = idle_limit_count(
                connections_limit_count=self.connection_limits.get(listing.service, 0),
                slots_count=listing.slots_count,
                gateways_count=gateways_count,
            )
            target.connections.drop_expired()

    def _update_listing(self, name, listing):
        target = self._targets.get(name)
        previous = target.listing if target else None
        restarted = previous is not None and (
            previous.address != listing.address or previous.born_ms != listing.born_ms
        )
        if target is None or restarted:
            if target is not None:
                target.connections.close()
            self._targets[name] = TrackedTarget(
                clock=self._clock,
                listing=listing,
                signals=self.signals,
                permits=self.permits,
                evacuations=self.evacuations,
            )
            details = {"target": name, "service": listing.service}
            log.info("target listed", extra=details)
            return
        if previous.state is not listing.state:
            details = {"target": name, "state": listing.state.value}
            log.info("target changed state", extra=details)
        target.listing = listing
