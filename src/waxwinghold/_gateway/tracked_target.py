"""A gateway's record of one target: its load, health and connections."""

from collections import deque
from dataclasses import dataclass

import msgspec

from .connection_pool import ConnectionPool
from .group_progress import RANK_STATE_AGE_LIMIT_MS, GroupProgress
from .model import TargetState

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
REPORTED_LOAD_AGE_LIMIT_MS = 400.0  # Reported loads lag by some hundred milliseconds.
RANK_COUNTS_AGE_LIMIT_MS = 400.0  # Allows for one lost notice of a rank.
COUNTS_LAG_MS = 100.0  # Interval at which gateways send each other their counts.
# A notice may not yet count requests that were sent this shortly before it arrived.
IN_TRANSIT_MS = 10.0
QUOTES_LIFETIME_MS = 600_000.0


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


class TrackedTarget:
    """Load, health and idle connections of one target, as this gateway knows them.

    Args:
        listing: The ``Target`` that the platform lists.
        signals: The ``TargetSignals`` of all targets.
        permits: The ``Permits`` for targets that have named a limit.
        evacuations: The ``Evacuations``.

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
        agent_born_ms: The latest start time that its agent told.
        quoted_ms: When the head of another answer last stood in a body that it sent.
    """

    def __init__(self, *, clock, listing, signals, permits, evacuations):
        self.listing = listing
        self.signals = signals
        self._permits = permits
        self._evacuations = evacuations
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
        self.agent_born_ms = 0
        self.quoted_ms = float("-inf")

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
        free_count = self.listing.slots_count - in_flight
        room_count = self.progress.room_count(now_ms=now_ms)
        return free_count if room_count is None else min(free_count, room_count)

    def is_usable(self, *, now_ms):
        """Return whether the target can get a request now."""
        may_send = self._permits.may_send(self.incarnation)
        return may_send and self.is_usable_with_permit(now_ms=now_ms)

    def is_cold(self, *, now_ms):
        """Return whether the target is cold, see ``ColdTargets``."""
        return self._permits.cold.left_ms(self.incarnation, now_ms=now_ms) > 0

    def is_working(self, *, now_ms):
        """Return whether the target is usable, or only waits for a permit as cold."""
        if self.is_usable(now_ms=now_ms):
            return True
        is_limited = self._permits.is_limited_as_cold(self.incarnation)
        return is_limited and self.is_usable_with_permit(now_ms=now_ms)

    def is_usable_with_permit(self, *, now_ms):
        """Return whether nothing but its limit keeps a request from the target."""
        if now_ms < self.avoid_until_ms or not self.accepts_requests(now_ms=now_ms):
            return False
        return not self.is_stalled(now_ms)

    def accepts_requests(self, *, now_ms):
        """Return whether neither operator, list nor the target forbids requests."""
        is_ready = self.listing.state is TargetState.READY and not self.is_evacuated
        return is_ready and self.signals.may_send(self.incarnation, now_ms=now_ms)

    @property
    def is_evacuated(self):
        """Return whether the operator evacuates the target's data centre."""
        return self._evacuations.has(self.listing.data_centre)

    def is_leaving(self, *, now_ms):
        """Return whether the list or the target itself says that it leaves."""
        is_listed_leaving = self.listing.state is not TargetState.READY
        return is_listed_leaving or self.signals.is_leaving(
            self.incarnation, now_ms=now_ms
        )

    def is_closed(self, *, now_ms):
        """Return whether the target is not expected to work within a second.

        It is leaving, its data centre is evacuated, or its group lost a rank.
        """
        if self.is_evacuated or self.is_leaving(now_ms=now_ms):
            return True
        notice = self.rank_notice
        if notice is None:
            return False
        if self.is_silent(now_ms):
            return self.progress.is_closed(now_ms=now_ms)
        return not notice.is_open

    def is_silent(self, now_ms):
        """Return whether the notices of the target's rank agent have stopped."""
        return (
            self.rank_notice is not None
            and now_ms - self.last_notice_ms > RANK_STATE_AGE_LIMIT_MS
        )

    def is_stalled(self, now_ms):
        """Return whether recent notices show that the target's group is stalled.

        Of a target whose own notices have stopped, those of the other ranks tell.
        """
        rank_notice = self.rank_notice
        if rank_notice is None:
            return False
        if now_ms - self.last_notice_ms > RANK_STATE_AGE_LIMIT_MS:
            return self.progress.is_closed(now_ms=now_ms)
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
        self._update_load()
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

    def record_quote(self, *, now_ms):
        """Record a body with the head of another answer; return if that is news."""
        is_news = not self.quotes_answers(now_ms=now_ms)
        self.quoted_ms = now_ms
        return is_news

    def quotes_answers(self, *, now_ms):
        """Return whether bodies of the target lately held heads of other answers.

        On a kept connection each of them would have to be fetched again.
        """
        return now_ms - self.quoted_ms <= QUOTES_LIFETIME_MS

    def avoid(self, *, now_ms, pause_ms):
        """Send no requests to the target for ``pause_ms`` from ``now_ms``."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + pause_ms)

    def _record_slot_change(self, change):
        now_ms = self._clock.now_ms()
        self._slot_changes.append((now_ms, change))
        # Later notices count the older changes; targets without agents send none.
        self._drop_slot_changes(now_ms - RANK_COUNTS_AGE_LIMIT_MS)
        if self.rank_notice is not None:
            self._update_load()

    def _update_load(self):
        """Tell the group's progress what runs at this target."""
        if not self.progress.counts_loads:
            return
        slots_count = self.listing.slots_count
        self.progress.update_load(
            self.rank_notice.rank,
            # More cannot run, whatever a notice says.
            running_count=min(self.rank_notice.running_count, slots_count),
            own_change_count=sum(change for _, change in self._slot_changes),
            slots_count=slots_count,
        )

    def _drop_slot_changes(self, until_ms):
        while self._slot_changes and self._slot_changes[0][0] < until_ms:
            self._slot_changes.popleft()

    def _increase_failure_ratio(self):
        self.failure_ratio += FAILURE_SMOOTHING_RATIO * (1 - self.failure_ratio)
