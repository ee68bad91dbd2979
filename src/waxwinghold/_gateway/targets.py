"""The targets as this gateway sees them: what it sent, heard and concluded."""

from collections import deque
from dataclasses import dataclass

import logbook
import msgspec

from .connection_pool import ConnectionPool
from .model import TargetState

log = logbook.Logger("targets")

AVOID_BASE_MS = 400.0  # About the time in which a crashed process is noticed.
AVOID_LIMIT_MS = 3000.0  # A crashed target is back after some seconds.
FULL_AVOID_MS = 60.0  # One step of a full batch; a place may be free after it.
# A target that rejects with places free is not full but cannot work: its group
# lost a rank or is being formed, which takes 0.6 s and more.
IDLE_REJECTION_AVOID_MS = 500.0
FULL_SHARE = 0.7  # Of the places; counts of other gateways lag a little.
FAILURE_SMOOTHING_RATIO = 0.2  # Weighs about the last five answers.
STANDSTILL_LIMIT_MS = 450.0  # A full batch takes some 130 ms for a pass.
RANK_TRUST_MS = 1000.0  # Several notices of a rank may be lost.
LOAD_TRUST_MS = 400.0  # Reports lag by some hundred ms.
COUNT_TRUST_MS = 400.0  # One notice of a rank may be lost.
# What was sent this short before a notice arrived may not be counted in it.
IN_TRANSIT_MS = 10.0


@dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """A target's own count of its requests.

    Args:
        at_ms: When it arrived, on the gateway's clock.
    """

    running_count: int
    waiting_count: int
    at_ms: float


class TrackedTarget:
    """One target and what this gateway believes of it.

    Attributes:
        in_flight_count: Requests of this gateway that the target holds.
        others_count: Requests that the other gateways say it holds.
        failure_ratio: Smoothed part of the sends that the target failed.
    """

    def __init__(self, *, clock, listing):
        self.listing = listing
        self.pool = ConnectionPool(clock=clock, address=listing.address)
        self._clock = clock
        # When requests of this gateway came and went since the rank's notice.
        self._moves = deque()
        self.in_flight_count = 0
        self.others_count = 0
        self.failure_ratio = 0.0
        self.failures_in_a_row = 0
        self.avoid_until_ms = 0.0
        self.load = None
        self.rank = None
        self.rank_heard_ms = 0.0
        self.stepped_ms = 0.0

    def occupy(self):
        """Count a request that is about to be sent."""
        self.in_flight_count += 1
        self._moves.append((self._clock.now_ms(), 1))

    def give_back(self):
        """Count a request less."""
        self.in_flight_count -= 1
        self._moves.append((self._clock.now_ms(), -1))

    def held_count(self, *, now_ms):
        """Return the requests that all gateways together have at the target.

        The word of the agent beside a rank is newer than the counts of the
        other gateways; this gateway's own requests since then are added.
        """
        if not self.told(now_ms=now_ms):
            return self.in_flight_count + self.others_count
        told_count = self.rank.running_count + self.rank.waiting_count
        self._forget_moves(self.rank_heard_ms - IN_TRANSIT_MS)
        told_count += sum(change for _, change in self._moves)
        return max(self.in_flight_count, told_count)

    def told(self, *, now_ms):
        """Return whether the rank's own word on what it holds is recent."""
        return self.rank is not None and now_ms - self.rank_heard_ms <= COUNT_TRUST_MS

    def free_count(self, *, now_ms):
        """Return the places that are believed free; negative when overfull."""
        held = self.held_count(now_ms=now_ms)
        load = self.load
        if load is not None and now_ms - load.at_ms < LOAD_TRUST_MS:
            held = max(held, load.waiting_count and self.listing.slots_count)
        return self.listing.slots_count - held

    def usable(self, *, now_ms):
        """Return whether the target may get a request now."""
        ready = self.listing.state is TargetState.READY
        return ready and now_ms >= self.avoid_until_ms and not self.stalled(now_ms)

    def silent(self, now_ms):
        """Return whether the agent beside the target went silent."""
        return self.rank is not None and now_ms - self.rank_heard_ms > RANK_TRUST_MS

    def stalled(self, now_ms):
        """Return whether the target's group is known to make no steps."""
        rank = self.rank
        if rank is None or now_ms - self.rank_heard_ms > RANK_TRUST_MS:
            return False
        if not rank.is_open:
            return True
        busy = rank.running_count > 0
        return busy and self.rank_heard_ms - self.stepped_ms > STANDSTILL_LIMIT_MS

    def take_rank(self, notice, *, now_ms):
        """Take in a notice of the agent beside the target; say if it is news."""
        known = self.rank
        if known is not None:
            order = (known.started_ms, known.sequence)
            if (notice.started_ms, notice.sequence) <= order:
                return False
        return self._put_rank(notice, heard_ms=now_ms, now_ms=now_ms)

    def take_group(self, notice, part, *, now_ms):
        """Take in what the leader of the rank's group says; say if it is news.

        Args:
            part: What the ``GroupNotice`` says of this rank.
        """
        _, age_ms, running_count, waiting_count = part
        if now_ms - age_ms <= self.rank_heard_ms:
            return False
        rank = msgspec.structs.replace(
            self.rank,
            is_open=notice.is_open,
            step=notice.step,
            running_count=running_count,
            waiting_count=waiting_count,
        )
        return self._put_rank(rank, heard_ms=now_ms - age_ms, now_ms=now_ms)

    def _put_rank(self, notice, *, heard_ms, now_ms):
        known = self.rank
        stalled = self.stalled(now_ms)
        if known is None or known.running_count == 0 or known.step != notice.step:
            self.stepped_ms = now_ms
        self.rank = notice
        self.rank_heard_ms = heard_ms
        self._forget_moves(heard_ms - IN_TRANSIT_MS)
        return stalled != self.stalled(now_ms)

    def record_success(self):
        """Take in that the target answered."""
        self.failures_in_a_row = 0
        self.avoid_until_ms = 0.0
        self.failure_ratio *= 1 - FAILURE_SMOOTHING_RATIO

    def record_failure(self, *, now_ms):
        """Take in a failure that speaks against the target."""
        self.failures_in_a_row += 1
        self._smooth_failure()
        pause_ms = AVOID_BASE_MS * 2 ** min(self.failures_in_a_row - 1, 4)
        self.avoid(now_ms=now_ms, pause_ms=min(pause_ms, AVOID_LIMIT_MS))

    def record_rejection(self, *, now_ms):
        """Take in that the target rejected a request."""
        full = self.held_count(now_ms=now_ms) >= FULL_SHARE * self.listing.slots_count
        pause_ms = FULL_AVOID_MS if full else IDLE_REJECTION_AVOID_MS
        self.avoid(now_ms=now_ms, pause_ms=pause_ms)

    def record_error_answer(self):
        """Take in an answer of the target that says that it failed."""
        self._smooth_failure()

    def avoid(self, *, now_ms, pause_ms):
        """Send nothing to the target for ``pause_ms``."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + pause_ms)

    def _forget_moves(self, until_ms):
        while self._moves and self._moves[0][0] < until_ms:
            self._moves.popleft()

    def _smooth_failure(self):
        self.failure_ratio += FAILURE_SMOOTHING_RATIO * (1 - self.failure_ratio)


class TargetPool:
    """All targets that the platform lists, by name and by service."""

    def __init__(self, *, clock):
        self._clock = clock
        self._targets = {}
        self._by_service = {}
        self._by_address = {}
        self.listeners = []
        self.grouped_services = frozenset()
        self._paces = {}
        self._group_orders = {}
        self._stalled_groups = {}

    def __iter__(self):
        return iter(self._targets.values())

    def get(self, name):
        """Return the seat of target ``name``, or ``None``."""
        return self._targets.get(name)

    def of_service(self, service):
        """Return the seats of ``service``."""
        return self._by_service.get(service, ())

    def replace(self, listings):
        """Take in the platform's whole list of targets."""
        listed = {listing.name: listing for listing in listings}
        for name in self._targets.keys() - listed.keys():
            target = self._targets.pop(name)
            target.pool.close()
            log.info("target gone", extra={"target": name})
        for name, listing in listed.items():
            self._take(name, listing)
        by_service = {}
        for target in self._targets.values():
            by_service.setdefault(target.listing.service, []).append(target)
        self._by_service = by_service
        self._by_address = {
            f"{target.listing.address[0]}:{target.listing.address[1]}": target
            for target in self._targets.values()
        }
        self.changed()

    def has_ranks(self, service):
        """Return whether targets of ``service`` are ranks of groups."""
        return service in self.grouped_services

    def group_pace(self, target):
        """Return the pace of the slowest rank that steps with ``seat``.

        All ranks of a group begin each step together, so that one slow rank
        slows them all.
        """
        return self._paces.get(target.rank.group, 1.0) if target.rank else 1.0

    def take_rank(self, notice):
        """Take in what the agent beside a target says of it."""
        target = self._by_address.get(notice.address)
        if target is None:
            return
        now_ms = self._clock.now_ms()
        if notice.pace != (target.rank.pace if target.rank else 1.0):
            self._learn_pace(notice)
        if target.take_rank(notice, now_ms=now_ms):
            self._log_stall(target, now_ms)
            self.changed()

    def take_group(self, notice):
        """Take in what the agent that leads a group says of its ranks."""
        order = (notice.started_ms, notice.sequence)
        if order <= self._group_orders.get(notice.group, (0, 0)):
            return
        self._group_orders[notice.group] = order
        parts = {part[0]: part for part in notice.ranks}
        now_ms = self._clock.now_ms()
        news = False
        for target in self._targets.values():
            rank = target.rank
            if rank is None or (rank.group, rank.epoch) != (notice.group, notice.epoch):
                continue
            part = parts.get(rank.rank)
            if part is not None and target.take_group(notice, part, now_ms=now_ms):
                self._log_stall(target, now_ms)
                news = True
        if news:
            self.changed()

    def _log_stall(self, target, now_ms):
        """Log that a group stalls or goes on, once for all of its ranks."""
        stalled = target.stalled(now_ms)
        if self._stalled_groups.get(target.rank.group, False) == stalled:
            return
        self._stalled_groups[target.rank.group] = stalled
        log.info(
            "group stalls" if stalled else "group makes steps",
            extra={
                "target": target.listing.name,
                "group": target.rank.group,
                "open": target.rank.is_open,
                "step": target.rank.step,
            },
        )

    def _learn_pace(self, notice):
        paces = [
            target.rank.pace
            for target in self._targets.values()
            if target.rank is not None
            and target.rank.group == notice.group
            and target.rank.address != notice.address
        ]
        self._paces[notice.group] = max([notice.pace, *paces])

    def changed(self):
        """Tell the listeners that places may have come free."""
        for listener in self.listeners:
            listener()

    def drop_expired_connections(self):
        """Close connections that were idle for too long."""
        for target in self._targets.values():
            target.pool.drop_expired()

    def _take(self, name, listing):
        target = self._targets.get(name)
        known = target.listing if target else None
        restarted = known is not None and (
            known.address != listing.address or known.born_ms != listing.born_ms
        )
        if target is None or restarted:
            if target is not None:
                target.pool.close()
            self._targets[name] = TrackedTarget(clock=self._clock, listing=listing)
            details = {"target": name, "service": listing.service}
            log.info("target listed", extra=details)
            return
        if known.state is not listing.state:
            details = {"target": name, "state": listing.state.value}
            log.info("target changed state", extra=details)
        target.listing = listing
