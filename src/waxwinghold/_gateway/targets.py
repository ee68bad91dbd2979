"""A gateway's records of its targets: their load, health and connections."""

from collections import deque
from dataclasses import dataclass

import logbook
import msgspec

from .._decisions.connections import idle_limit_count
from .._decisions.target_signals import TargetSignals, credible_hints
from .connection_pool import ConnectionPool
from .model import TargetState
from .permits import Permits

log = logbook.Logger("targets")

AVOID_BASE_MS = 400.0  # About the time it takes to detect a crashed process.
AVOID_LIMIT_MS = 3000.0  # A crashed target restarts within a few seconds.
FULL_AVOID_MS = 60.0  # One step of a full batch; a slot may be free after it.
# A target that rejects requests although it has free slots cannot work: its group
# lost a rank or is still forming, which takes at least 0.6 s.
IDLE_REJECTION_AVOID_MS = 500.0
# A target that rejects a request with this share of its slots in use counts as full:
# the counts of the other gateways lag a little.
FULL_SHARE = 0.7
FAILURE_SMOOTHING_RATIO = 0.2  # Averages over about the last five answers.
# Longer than the interval at which gateways repeat it.
LEAVING_HINT_MS = 1000.0
STALL_LIMIT_MS = 450.0  # One step of a full batch takes about 130 ms.
RANK_STATE_AGE_LIMIT_MS = 1000.0  # Allows for several lost notices of a rank.
REPORTED_LOAD_AGE_LIMIT_MS = 400.0  # Reported loads lag by some hundred milliseconds.
RANK_COUNTS_AGE_LIMIT_MS = 400.0  # Allows for one lost notice of a rank.
COUNTS_LAG_MS = 100.0  # Interval at which gateways send each other their counts.
# A notice may not yet count requests that were sent this shortly before it arrived.
IN_TRANSIT_MS = 10.0


@dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """The number of requests that a target reported with an answer.

    Args:
        running_count: Requests that the target runs.
        waiting_count: Requests in the target's own queue.
        at_ms: When the report arrived, in milliseconds of the gateway's clock.
    """

    running_count: int
    waiting_count: int
    at_ms: float


class GroupProgress:
    """Whether the ranks of one group make steps, as their notices show.

    All ranks of a group begin each step together, and an idle group makes none. A
    group that makes no step is therefore stalled only while one of its ranks has
    requests, and then its idle ranks are stalled as well.

    Attributes:
        step: Number of the last step that a notice named.
        last_step_ms: When the group was last seen to make a step or to be idle.
    """

    def __init__(self):
        # When each rank that has requests last said so.
        self._busy_ms = {}
        self.epoch = None
        self.step = None
        self.last_step_ms = 0.0

    def update(self, notice, *, now_ms):
        """Apply the ``RankNotice`` of any rank of the group."""
        if notice.epoch != self.epoch:
            self.epoch, self.step = notice.epoch, None
            self._busy_ms.clear()
        is_idle = not self._is_busy(now_ms)
        if is_idle or self.step is None or notice.step > self.step:
            self.last_step_ms = now_ms
            self.step = max(notice.step, self.step or 0)
        if notice.running_count or notice.waiting_count:
            self._busy_ms[notice.rank] = now_ms
        else:
            self._busy_ms.pop(notice.rank, None)

    def is_stalled(self, *, notice_ms):
        """Return whether the group made no step for too long.

        Args:
            notice_ms: When the latest notice of a rank was current.
        """
        stalled_ms = notice_ms - self.last_step_ms
        return stalled_ms > STALL_LIMIT_MS and self._is_busy(notice_ms)

    def _is_busy(self, now_ms):
        # A rank whose agent fell silent may be idle by now.
        oldest_ms = now_ms - RANK_STATE_AGE_LIMIT_MS
        return any(busy_ms >= oldest_ms for busy_ms in self._busy_ms.values())


class TrackedTarget:
    """Load, health and idle connections of one target, as this gateway knows them.

    Args:
        listing: The ``Target`` that the platform lists.
        signals: The ``TargetSignals`` of all targets.
        permits: The ``Permits`` for targets that have named a limit.

    Attributes:
        connections: The target's ``ConnectionPool``.
        in_flight_count: Requests of this gateway in flight at the target.
        peers_in_flight_count: Requests of the other gateways in flight at the
            target, from their notices.
        failure_ratio: Smoothed share of the sends that failed at the target.
        failures_in_a_row: Failures since the last success.
        avoid_until_ms: When the target may get requests again.
        reported_load: The last ``ReportedLoad``, or ``None``.
        rank_notice: The last ``RankNotice`` of the target, or ``None``. Its
            state is updated from each ``GroupNotice`` as well.
        last_notice_ms: When the state in ``rank_notice`` was current.
        progress: The ``GroupProgress`` of the target's group.
        answered_send_ms: When the latest request that it answered was sent.
    """

    def __init__(self, *, clock, listing, signals, permits):
        self.listing = listing
        self.signals = signals
        self._permits = permits
        self._incarnation = f"{listing.name}/{listing.born_ms}"
        self.connections = ConnectionPool(clock=clock, address=listing.address)
        self._clock = clock
        # Slots acquired (+1) and released (-1) by this gateway since the last notice.
        self._slot_changes = deque()
        self.in_flight_count = 0
        self.peers_in_flight_count = 0
        self.failure_ratio = 0.0
        self.failures_in_a_row = 0
        self.avoid_until_ms = 0.0
        self.reported_load = None
        self.rank_notice = None
        self.last_notice_ms = 0.0
        self.progress = GroupProgress()
        self.answered_send_ms = float("-inf")

    @property
    def incarnation(self):
        """Return the target's name and start time: a restart makes another one."""
        return self._incarnation

    @property
    def pace(self):
        """Return how many times slower than usual the target itself is."""
        return max(1.0, self.rank_notice.pace) if self.rank_notice else 1.0

    def acquire_slot(self):
        """Count one request more in flight, which uses a permit."""
        self._permits.use(self.incarnation)
        self.in_flight_count += 1
        self._record_slot_change(1)

    def release_slot(self):
        """Count one request less in flight."""
        self.in_flight_count -= 1
        self._record_slot_change(-1)

    def total_in_flight_count(self, *, now_ms):
        """Return the requests of all gateways in flight at the target.

        A rank notice is newer than the counts of the other gateways. If there is
        a recent one, its counts are used, corrected by the slots that this gateway
        has acquired and released since.
        """
        if not self.has_recent_notice(now_ms=now_ms):
            return self.in_flight_count + self.peers_in_flight_count
        reported_count = self.rank_notice.running_count + self.rank_notice.waiting_count
        self._drop_slot_changes(self.last_notice_ms - IN_TRANSIT_MS)
        reported_count += sum(change for _, change in self._slot_changes)
        return max(self.in_flight_count, reported_count)

    def has_recent_notice(self, *, now_ms):
        """Return whether the counts of the last rank notice are recent."""
        return (
            self.rank_notice is not None
            and now_ms - self.last_notice_ms <= RANK_COUNTS_AGE_LIMIT_MS
        )

    def has_released_slot(self, *, now_ms):
        """Return whether this gateway released a slot that no notice shows yet."""
        seen_ms = now_ms - COUNTS_LAG_MS
        if self.has_recent_notice(now_ms=now_ms):
            seen_ms = self.last_notice_ms - IN_TRANSIT_MS
        changes = (change for at_ms, change in self._slot_changes if at_ms >= seen_ms)
        return sum(changes) < 0

    def free_slots_count(self, *, now_ms):
        """Return the estimated number of free slots; negative when overloaded."""
        in_flight = self.total_in_flight_count(now_ms=now_ms)
        load = self.reported_load
        if load is not None and now_ms - load.at_ms < REPORTED_LOAD_AGE_LIMIT_MS:
            # A target with a queue of its own has no free slot.
            in_flight = max(in_flight, load.waiting_count and self.listing.slots_count)
        return self.listing.slots_count - in_flight

    def is_usable(self, *, now_ms):
        """Return whether the target can get a request now."""
        may_send = self._permits.may_send(self.incarnation)
        return may_send and self.is_usable_with_permit(now_ms=now_ms)

    def is_usable_with_permit(self, *, now_ms):
        """Return whether nothing but its limit keeps a request from the target."""
        if now_ms < self.avoid_until_ms or not self.accepts_requests(now_ms=now_ms):
            return False
        return not self.is_stalled(now_ms)

    def accepts_requests(self, *, now_ms):
        """Return whether neither the list nor the target itself forbids requests."""
        is_ready = self.listing.state is TargetState.READY
        return is_ready and self.signals.may_send(self.incarnation, now_ms=now_ms)

    def is_closed(self, *, now_ms):
        """Return whether the target is not expected to work within a second.

        It is leaving, or its group lost a rank.
        """
        if self.listing.state is not TargetState.READY:
            return True
        if self.signals.is_leaving(self.incarnation, now_ms=now_ms):
            return True
        notice = self.rank_notice
        has_state = notice is not None and not self.is_silent(now_ms)
        return has_state and not notice.is_open

    def is_silent(self, now_ms):
        """Return whether the notices of the target's rank agent have stopped."""
        return (
            self.rank_notice is not None
            and now_ms - self.last_notice_ms > RANK_STATE_AGE_LIMIT_MS
        )

    def is_stalled(self, now_ms):
        """Return whether recent notices show that the target's group is stalled."""
        rank_notice = self.rank_notice
        if (
            rank_notice is None
            or now_ms - self.last_notice_ms > RANK_STATE_AGE_LIMIT_MS
        ):
            return False
        if not rank_notice.is_open:
            return True
        return self.progress.is_stalled(notice_ms=self.last_notice_ms)

    def update_rank(self, notice, *, now_ms):
        """Apply a ``RankNotice``, and return whether the target stalled or resumed.

        Out-of-date and repeated notices are ignored.
        """
        previous = self.rank_notice
        if previous is not None:
            position = (previous.started_ms, previous.sequence)
            if (notice.started_ms, notice.sequence) <= position:
                return False
        return self._set_rank_notice(notice, received_ms=now_ms, now_ms=now_ms)

    def update_group(self, notice, entry, *, now_ms):
        """Apply a ``GroupNotice``, and return whether the target stalled or resumed.

        Args:
            entry: The tuple in ``notice.ranks`` of this target's rank.
        """
        _, age_ms, running_count, waiting_count, pace_tenths = entry
        if now_ms - age_ms <= self.last_notice_ms:
            return False
        rank_notice = msgspec.structs.replace(
            self.rank_notice,
            is_open=notice.is_open,
            step=notice.step,
            running_count=running_count,
            waiting_count=waiting_count,
            pace=pace_tenths / 10,
        )
        return self._set_rank_notice(
            rank_notice, received_ms=now_ms - age_ms, now_ms=now_ms
        )

    def _set_rank_notice(self, notice, *, received_ms, now_ms):
        stalled = self.is_stalled(now_ms)
        self.progress.update(notice, now_ms=now_ms)
        self.rank_notice = notice
        self.last_notice_ms = received_ms
        self._drop_slot_changes(received_ms - IN_TRANSIT_MS)
        return stalled != self.is_stalled(now_ms)

    def record_success(self):
        """Record an answer of the target."""
        self.failures_in_a_row = 0
        self.avoid_until_ms = 0.0
        self.failure_ratio *= 1 - FAILURE_SMOOTHING_RATIO

    def record_failure(self, *, now_ms):
        """Record a failure caused by the target, and avoid the target for a while."""
        self.failures_in_a_row += 1
        self._increase_failure_ratio()
        pause_ms = AVOID_BASE_MS * 2 ** min(self.failures_in_a_row - 1, 4)
        self.avoid(now_ms=now_ms, pause_ms=min(pause_ms, AVOID_LIMIT_MS))

    def record_rejection(self, *, now_ms):
        """Record that the target rejected a request, and avoid it for a short while."""
        full = (
            self.total_in_flight_count(now_ms=now_ms)
            >= FULL_SHARE * self.listing.slots_count
        )
        pause_ms = FULL_AVOID_MS if full else IDLE_REJECTION_AVOID_MS
        self.avoid(now_ms=now_ms, pause_ms=pause_ms)

    def record_error_answer(self):
        """Record an answer that reports a failure of the target."""
        self._increase_failure_ratio()

    def avoid(self, *, now_ms, pause_ms):
        """Send no requests to the target for ``pause_ms`` from ``now_ms``."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + pause_ms)

    def _record_slot_change(self, change):
        now_ms = self._clock.now_ms()
        self._slot_changes.append((now_ms, change))
        # Later notices count the older changes; targets without agents send none.
        self._drop_slot_changes(now_ms - RANK_COUNTS_AGE_LIMIT_MS)

    def _drop_slot_changes(self, until_ms):
        while self._slot_changes and self._slot_changes[0][0] < until_ms:
            self._slot_changes.popleft()

    def _increase_failure_ratio(self):
        self.failure_ratio += FAILURE_SMOOTHING_RATIO * (1 - self.failure_ratio)


class TargetPool:
    """The records of all targets that the platform lists.

    Attributes:
        listeners: Functions that are called when a slot may have become free.
        grouped_services: Names of the services whose targets are ranks of groups.
        connection_limits: How many connections a target accepts from all gateways
            together, by service.
        signals: The ``TargetSignals`` of all targets, also of those no longer listed.
        permits: The ``Permits`` for targets that have named a limit.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._targets = {}
        self._targets_by_service = {}
        self._targets_by_address = {}
        self.listeners = []
        self.grouped_services = frozenset()
        self.connection_limits = {}
        self.signals = TargetSignals()
        self.permits = Permits(clock=clock)
        self.permits.listeners.append(self.notify_listeners)
        self._paces = {}
        self._group_positions = {}
        self._stalled_groups = {}
        self._progress = {}

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
        previous = target.rank_notice
        target.progress = self._progress.setdefault(notice.group, target.progress)
        if target.update_rank(notice, now_ms=now_ms):
            self._log_stall(target, now_ms)
            self.notify_listeners()
        current = target.rank_notice
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
            previous_pace = target.pace
            if target.update_group(notice, entry, now_ms=now_ms):
                self._log_stall(target, now_ms)
                is_changed = True
            has_new_pace = has_new_pace or target.pace != previous_pace
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
            )
            details = {"target": name, "service": listing.service}
            log.info("target listed", extra=details)
            return
        if previous.state is not listing.state:
            details = {"target": name, "state": listing.state.value}
            log.info("target changed state", extra=details)
        target.listing = listing
