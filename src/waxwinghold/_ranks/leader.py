"""Carries out changes of a group's expert map; one agent of the group leads.

The agent of rank 0 is the leader. Each host runs one agent, so no two agents plan at
the same time. A restarted leader finds in the ranks' reports what it has to finish.
A group whose rank 0 has no agent keeps its map.

All ranks prepare the new map, rank 0 holds the step of the switch, all ranks are
armed for that step, and the step is released only when every rank reports that it is
armed. A deputy that finishes the change of a silent leader takes the same path, so
that both may do it at the same time without harm.

A held step can only be released at rank 0, and a rank whose host is frozen can be
neither read nor armed. Two rules keep the group from waiting for a frozen host:

- The agent of another rank sends the order to hold. A host that fails as it sends
  that order therefore takes neither the held rank nor the leader with it.
- No rank is armed before every rank was heard again after the hold. If one is silent,
  the step is released and the map stays as it is.

Rank 0 is armed first. From then on, a change only moves forward. Until then it may be
given up: the order that releases the step names the orders that rank 0 had accepted,
so that rank 0 accepts either that order or the first one to arm, never both.

A rank may carry out an order late or twice. Each order therefore names the epoch
of the group and the number of orders that the rank had accepted before. The rank
rejects it once the group was re-formed or another order was accepted in between.
"""

import itertools
import math

import logbook

from .model import Order, OrderKind

log = logbook.Logger("leader")

POLL_INTERVAL_MS = 20.0
RESEND_INTERVAL_MS = 110.0  # Longer than the timeout of the call that sends an order.
PREPARE_LIMIT_MS = 6000.0  # Copying takes about 1 s; lost orders are sent again.
FIRST_VERSIONS_COUNT = 1000  # The token is a time in milliseconds.
PREPARE_RESEND_MS = 3 * RESEND_INTERVAL_MS
# A rank reports the map as prepared once its experts are copied. If it has accepted an
# order since, it was probably that one.
COPYING_RESEND_MS = 1000.0
# Time from the hold order to the switch. Hearing all ranks again and arming them takes
# 100 to 150 ms, and reports are about 50 ms old. A step that is held for some 50 ms
# makes each stream of the group late.
HOLD_AHEAD_MS = 320.0
HOLD_AHEAD_MIN_COUNT = 3  # Steps; one may begin before the order arrives.
LONG_STEP_MS = 150.0  # Long enough for an order to arrive within the step.
LONG_STEP_MIN_COUNT = 2
LONGEST_STEP_MS = 400.0  # Long enough for the ranks to be armed as well.
LONGEST_STEP_MIN_COUNT = 1
HOLD_AHEAD_MAX_COUNT = 12  # Steps; also used if none began during preparation.
# Time for every rank to be heard again after the hold: several reports, or one reading
# of a rank whose agent is silent. It ends about when the held step is due.
CONFIRM_LIMIT_MS = 200.0
# The same for a deputy, which reads one rank after the other.
DEPUTY_CONFIRM_LIMIT_MS = 500.0
GIVER_SILENCE_MS = 150.0  # Several reports during a change.


class GroupChangedError(Exception):
    """The group was re-formed or is incomplete, which ends the map change."""


class Leader:
    """Sends the orders of a map change and waits for the ranks to report success.

    Args:
        view: The ``GroupView`` with the latest notice of each rank.
        send: ``send(rank, order, via=rank)`` sends an ``Order`` to a rank through the
            agent of the rank ``via``.
        token: Fencing token, higher than that of any earlier start.

    Attributes:
        arming_ms: Time that arming the ranks took in the latest change.
    """

    def __init__(self, *, clock, view, send, token):
        self._clock = clock
        self._view = view
        self._send = send
        self._token = token
        self._version = 0
        self.arming_ms = 0.0

    @property
    def version(self):
        """The version of the last map that this leader ordered; 0 before the first."""
        return self._version

    def raise_token(self):
        """Use a higher token from now on, after a rank rejected the current one."""
        self._token += 1_000_000

    def is_unfinished(self):
        """Return whether rank 0 holds a step for a change that is not finished."""
        notice = self._view.notices().get(0)
        return notice is not None and notice.held is not None

    async def change_map(self, ranks_by_set, *, base_by_set=None):
        """Switch the group to a new map.

        Args:
            ranks_by_set: The new map: resident experts by set and rank.
            base_by_set: The map in use, so that only its changes need to be sent;
                ``None`` if not known.

        Returns:
            Whether all ranks switched; ``False`` if some did not prepare the map
            in time, which leaves the current map in use.

        Raises:
            GroupChangedError: The group was re-formed or is incomplete.
        """
        epoch = self._view.epoch
        self.arming_ms = 0.0
        notices = self._require_group(epoch)
        started_ms, first_step = self._clock.now_ms(), notices[0].step
        versions = [self._version]
        for notice in notices.values():
            versions += [notice.map_version, notice.prepared or 0]
        self._version = self._version_after(max(versions))
        if not await self._prepare(epoch, self._version, ranks_by_set, base_by_set):
            return False
        steps_count = self._require_group(epoch)[0].step - first_step
        ahead_count = hold_ahead_count(
            steps_count=steps_count, took_ms=self._clock.now_ms() - started_ms
        )
        step = await self._hold(epoch, ahead_count)
        if not await self._confirm(epoch):
            await self._give_up(epoch, step, reason="a rank is silent")
            raise GroupChangedError("a rank fell silent after the hold")
        await self._switch(epoch, self._version, step)
        return True

    def _version_after(self, highest):
        """Return the version of the next map, given the highest one in use or reported.

        An order of an earlier leader, whose map no rank has reported, may be carried
        out at any time, and a rank reports versions only. The first version of this
        leader is therefore not the next one, but the next with the last digits of its
        token.
        """
        version = highest + 1
        if self._version == 0:
            version += (self._token - version) % FIRST_VERSIONS_COUNT
        return version

    async def finish(self):
        """Finish or give up a change that this or another agent began.

        It is given up if a rank is silent or has another map prepared, and rank 0 is
        not armed yet.

        Raises:
            GroupChangedError: The group was re-formed or is incomplete.
        """
        epoch = self._view.epoch
        notice = self._view.notices()[0]
        step = notice.held
        if step is None:
            return
        if notice.armed is None and not await self._confirm(epoch):
            await self._give_up(epoch, step, reason="a rank is silent")
            return
        notices = self._require_group(epoch)
        versions = {
            notice.prepared if notice.armed is None else notice.armed
            for notice in notices.values()
        }
        if notices[0].held != step:
            return
        if len(versions) != 1 or None in versions:
            reason = f"versions differ: {sorted(map(str, versions))}"
            if notices[0].armed is None:
                await self._give_up(epoch, step, reason=reason)
                return
            # The reports were made at different times; the next call uses newer ones.
            log.info("map change not finished yet", extra={"reason": reason})
            return
        version = versions.pop()
        log.info("finishing a map change", extra={"version": version, "step": step})
        await self._switch(epoch, version, step)

    async def _prepare(self, epoch, version, ranks_by_set, base_by_set=None):
        end_ms = self._clock.now_ms() + PREPARE_LIMIT_MS
        await self._order_all(
            epoch,
            done=lambda notice: notice.prepared == version,
            make_order=lambda notice: Order(
                kind=OrderKind.PREPARE,
                epoch=epoch,
                orders_count=notice.orders_count,
                token=self._token,
                version=version,
                ranks_by_set=ranks_by_set,
                base_by_set=base_by_set,
            ),
            end_ms=end_ms,
            resend_ms=PREPARE_RESEND_MS,
            accepted_resend_ms=COPYING_RESEND_MS,
        )
        notices = self._require_group(epoch)
        return all(notice.prepared == version for notice in notices.values())

    async def _switch(self, epoch, version, step):
        """Arm rank 0 and then the others for the held ``step``, then release it."""
        started_ms = self._clock.now_ms()
        for ranks in ({0}, None):
            await self._order_all(
                epoch,
                done=lambda notice: (
                    notice.armed == version or notice.map_version == version
                ),
                make_order=lambda notice: self._arm_order(notice, version, step),
                ranks=ranks,
            )
        self.arming_ms = self._clock.now_ms() - started_ms
        await self._release(epoch, step)
        log.info(
            "map switched",
            extra={
                "group": self._view.name,
                "version": version,
                "step": step,
                "armed_in_ms": round(self.arming_ms),
            },
        )

    async def _hold(self, epoch, ahead_count):
        """Make rank 0 hold a coming step; return the number of that step."""
        sent_ms = float("-inf")
        givers = self._givers()
        while True:
            notices = self._require_group(epoch)
            rank0_notice = notices[0]
            if rank0_notice.held is not None:
                return rank0_notice.held
            now_ms = self._clock.now_ms()
            if now_ms - sent_ms >= RESEND_INTERVAL_MS:
                sent_ms = now_ms
                step = max(notice.step for notice in notices.values()) + ahead_count
                self._send(
                    0,
                    Order(
                        kind=OrderKind.HOLD,
                        epoch=epoch,
                        orders_count=rank0_notice.orders_count,
                        token=self._token,
                        step=step,
                    ),
                    via=next(givers),
                )
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _givers(self):
        """Yield the ranks whose agents may send the order to hold, in turn.

        Successive changes, and repeated orders of one change, use different agents.
        """
        ranks = [
            rank
            for rank in self._view.notices()
            if rank != 0
            and not self._view.is_agent_silent(rank, limit_ms=GIVER_SILENCE_MS)
        ]
        first = self._version % len(ranks) if ranks else 0
        return itertools.cycle(ranks[first:] + ranks[:first] or [0])

    async def _confirm(self, epoch):
        """Return whether every rank was heard again within ``CONFIRM_LIMIT_MS``."""
        held_ms = self._clock.now_ms()
        limit_ms = (
            CONFIRM_LIMIT_MS if self._view.own_rank == 0 else DEPUTY_CONFIRM_LIMIT_MS
        )
        while not self._view.is_complete_since(held_ms):
            if self._view.epoch != epoch:
                raise GroupChangedError("the group was re-formed")
            if self._clock.now_ms() - held_ms > limit_ms:
                return False
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
        return True

    async def _give_up(self, epoch, step, *, reason):
        """Release the held ``step`` unless rank 0 has been armed for it meanwhile."""
        sent_ms = float("-inf")
        log.info("map change given up", extra={"step": step, "reason": reason})
        while self._view.epoch == epoch:
            notice = self._view.notices()[0]
            if notice.held != step or notice.armed is not None:
                return
            now_ms = self._clock.now_ms()
            if now_ms - sent_ms >= RESEND_INTERVAL_MS:
                sent_ms = now_ms
                self._send(0, self._go_order(notice, step))
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _arm_order(self, notice, version, step):
        """Return the order to arm a rank for the held ``step``.

        Raises:
            GroupChangedError: Another agent has released the step, which may still be
                to come.
        """
        is_released = notice.rank == 0 and notice.held != step
        if is_released and notice.armed != version:
            raise GroupChangedError("another agent gave the map change up")
        return Order(
            kind=OrderKind.ARM,
            epoch=notice.epoch,
            orders_count=notice.orders_count,
            token=self._token,
            version=version,
            step=step,
        )

    def _go_order(self, notice, step):
        return Order(
            kind=OrderKind.GO,
            epoch=notice.epoch,
            orders_count=notice.orders_count,
            token=self._token,
            step=step,
        )

    async def _release(self, epoch, step):
        """Release the held ``step``, and no other one."""
        await self._order_all(
            epoch,
            done=lambda notice: notice.held != step,
            make_order=lambda notice: self._go_order(notice, step),
        )

    async def _order_all(
        self,
        epoch,
        *,
        done,
        make_order,
        end_ms=float("inf"),
        resend_ms=RESEND_INTERVAL_MS,
        accepted_resend_ms=RESEND_INTERVAL_MS,
        ranks=None,
    ):
        """Send each rank an order, repeatedly until it is done or the time is up.

        Args:
            done: ``done(notice)`` tells whether a rank carried out its order.
            make_order: ``make_order(notice)`` returns the ``Order`` of a rank.
            end_ms: Time on the clock at which to give up.
            resend_ms: Time after which a rank gets its order again.
            accepted_resend_ms: The same for a rank that has accepted an order since.
            ranks: The ranks that get the order; ``None`` for all.
        """
        sent = {}
        while True:
            notices = self._require_group(epoch)
            pending_ranks = [
                rank
                for rank, notice in notices.items()
                if (ranks is None or rank in ranks) and not done(notice)
            ]
            now_ms = self._clock.now_ms()
            if not pending_ranks or now_ms > end_ms:
                return
            for rank in pending_ranks:
                notice = notices[rank]
                sent_ms, orders_count = sent.get(rank, (float("-inf"), None))
                is_accepted = notice.orders_count != orders_count
                wait_ms = accepted_resend_ms if is_accepted else resend_ms
                if now_ms - sent_ms >= wait_ms:
                    sent[rank] = (now_ms, notice.orders_count)
                    self._send(rank, make_order(notice))
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _require_group(self, epoch):
        """Return the latest notices of all ranks.

        Raises:
            GroupChangedError: The group left ``epoch`` or is incomplete.
        """
        notices = self._view.notices()
        if self._view.epoch != epoch:
            raise GroupChangedError("the group was re-formed")
        if not self._view.is_complete():
            raise GroupChangedError("a rank is silent or its group is not open")
        return notices


def hold_ahead_count(*, steps_count, took_ms):
    """Return how many steps ahead to schedule the switch.

    Args:
        steps_count: Steps that began while the map was prepared.
        took_ms: Time that preparing the map took.
    """
    if steps_count <= 0:
        return HOLD_AHEAD_MAX_COUNT
    step_ms = took_ms / steps_count
    min_count = HOLD_AHEAD_MIN_COUNT
    if step_ms >= LONGEST_STEP_MS:
        min_count = LONGEST_STEP_MIN_COUNT
    elif step_ms >= LONG_STEP_MS:
        min_count = LONG_STEP_MIN_COUNT
    count = math.ceil(HOLD_AHEAD_MS / step_ms)
    return min(HOLD_AHEAD_MAX_COUNT, max(min_count, count))
