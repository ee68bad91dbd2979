"""Steps a group from one expert map to the next; one agent leads each group.

The agent beside rank 0 leads, so that no two plan at once: a machine runs one
agent, and a restarted one finds in the ranks' reports all that it has to finish.
A group whose rank 0 has no agent keeps its map.

The change only goes forward. All ranks prepare the map; rank 0 is told to hold
back the pass of the switch; all ranks are armed for that pass; only when all
say that they are, the pass is let go. Whoever finishes what a silent leader
began goes the same way, so that two at once do no harm. Orders may be carried
out late or twice: each names the epoch of the group and the number of orders
that its rank had accepted, so that it is void once the group was formed anew or
any other order came between.
"""

import math

import logbook

from .model import Order, OrderKind

log = logbook.Logger("leader")

POLL_INTERVAL_MS = 20.0
RESEND_INTERVAL_MS = 110.0  # Beyond the time that an order's answer is waited for.
PREPARE_LIMIT_MS = 6000.0  # Copies take about a second; orders may be lost.
# Orders that carry a whole map, some 2.5 KB for 32 ranks, in one poll: what a link
# of 4 Mbit/s carries meanwhile. A burst of all of them is lost in part.
MAPS_PER_POLL_COUNT = 4
# Time until the switch: arming takes some 60 ms, and reports lag by 50 ms.
HOLD_AHEAD_MS = 200.0
HOLD_AHEAD_LEAST_COUNT = 3  # Passes; one may begin before the order arrives.
HOLD_AHEAD_MOST_COUNT = 8  # Also where no pass was seen to begin lately.


class GroupChangedError(Exception):
    """The group was formed anew or is incomplete: nothing is left to finish."""


class Leader:
    """Carries out map changes.

    Args:
        group: The ``GroupView`` that knows the latest notice of each rank.
        send: Sends an ``Order`` to the agent of a rank.
        token: Number of this start, higher than that of any earlier one.
    """

    def __init__(self, *, clock, group, send, token):
        self._clock = clock
        self._group = group
        self._send = send
        self._token = token
        self._version = 0

    def raise_token(self):
        """Use a higher token from now on, after a refusal of the old one."""
        self._token += 1_000_000

    def is_unfinished(self):
        """Return whether a pass is held back for a change that nobody finished."""
        first = self._group.notices().get(0)
        return first is not None and first.held is not None

    async def change_map(self, ranks_by_set):
        """Put a map into use; return whether all ranks use it.

        Args:
            ranks_by_set: Per set and rank the experts held.

        Raises:
            GroupChangedError: The group is not what it was at the start.
        """
        epoch = self._group.epoch
        notices = self._require(epoch)
        started_ms, first_step = self._clock.now_ms(), notices[0].step
        known = [self._version]
        for one in notices.values():
            known += [one.map_version, one.prepared or 0]
        self._version = max(known) + 1
        if not await self._prepare(epoch, self._version, ranks_by_set):
            return False
        steps_count = self._require(epoch)[0].step - first_step
        ahead_count = hold_ahead_count(
            steps_count=steps_count, took_ms=self._clock.now_ms() - started_ms
        )
        step = await self._hold(epoch, ahead_count)
        await self._switch(epoch, self._version, step)
        return True

    async def finish(self):
        """Finish a change that an earlier start of this agent began.

        Raises:
            GroupChangedError: The group is not what it was at the start.
        """
        epoch = self._group.epoch
        notices = self._require(epoch)
        held = notices[0].held
        versions = {
            one.prepared if one.armed is None else one.armed for one in notices.values()
        }
        if held is None or len(versions) != 1 or None in versions:
            # Reports of different moments: the next ones will tell.
            log.info("change not clear", extra={"versions": sorted(map(str, versions))})
            return
        version = versions.pop()
        log.info("finishing a change", extra={"version": version, "step": held})
        await self._switch(epoch, version, held)

    async def _prepare(self, epoch, version, ranks_by_set):
        end_ms = self._clock.now_ms() + PREPARE_LIMIT_MS
        await self._order_all(
            epoch,
            done=lambda one: one.prepared == version,
            make=lambda one: Order(
                kind=OrderKind.PREPARE,
                epoch=epoch,
                orders_count=one.orders_count,
                token=self._token,
                version=version,
                ranks_by_set=ranks_by_set,
            ),
            end_ms=end_ms,
            resend_ms=3 * RESEND_INTERVAL_MS,
            per_poll_count=MAPS_PER_POLL_COUNT,
        )
        notices = self._require(epoch)
        return all(one.prepared == version for one in notices.values())

    async def _switch(self, epoch, version, step):
        """Arm all ranks for the held pass ``step`` and let it begin."""
        started_ms = self._clock.now_ms()
        await self._order_all(
            epoch,
            done=lambda one: one.armed == version or one.map_version == version,
            make=lambda one: Order(
                kind=OrderKind.ARM,
                epoch=epoch,
                orders_count=one.orders_count,
                token=self._token,
                version=version,
                step=step,
            ),
        )
        armed_ms = self._clock.now_ms() - started_ms
        await self._release(epoch, step)
        log.info(
            "map switched",
            extra={
                "group": self._group.name,
                "version": version,
                "step": step,
                "armed_in_ms": round(armed_ms),
            },
        )

    async def _hold(self, epoch, ahead_count):
        """Hold back a pass to come at rank 0; return its number."""
        sent_ms = float("-inf")
        while True:
            notices = self._require(epoch)
            first = notices[0]
            if first.held is not None:
                return first.held
            now_ms = self._clock.now_ms()
            if now_ms - sent_ms >= RESEND_INTERVAL_MS:
                sent_ms = now_ms
                step = max(one.step for one in notices.values()) + ahead_count
                self._send(
                    0,
                    Order(
                        kind=OrderKind.HOLD,
                        epoch=epoch,
                        orders_count=first.orders_count,
                        token=self._token,
                        step=step,
                    ),
                )
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def _release(self, epoch, step):
        """Let the held pass ``step`` begin, and no other."""
        await self._order_all(
            epoch,
            done=lambda one: one.held != step,
            make=lambda one: Order(
                kind=OrderKind.GO,
                epoch=epoch,
                orders_count=one.orders_count,
                token=self._token,
                step=step,
            ),
        )

    async def _order_all(
        self,
        epoch,
        *,
        done,
        make,
        end_ms=float("inf"),
        resend_ms=RESEND_INTERVAL_MS,
        per_poll_count=None,
    ):
        """Send orders until every rank reports that it carried out its own."""
        sent_ms = {}
        while True:
            notices = self._require(epoch)
            open_ranks = [rank for rank, one in notices.items() if not done(one)]
            now_ms = self._clock.now_ms()
            if not open_ranks or now_ms > end_ms:
                return
            due_ranks = [
                rank
                for rank in open_ranks
                if now_ms - sent_ms.get(rank, float("-inf")) >= resend_ms
            ]
            for rank in due_ranks[:per_poll_count]:
                sent_ms[rank] = now_ms
                self._send(rank, make(notices[rank]))
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _require(self, epoch):
        """Return the notices of all ranks; the group must be in ``epoch``."""
        notices = self._group.notices()
        if self._group.epoch != epoch:
            raise GroupChangedError("the group was formed anew")
        if not self._group.is_complete():
            raise GroupChangedError("a rank is silent or the group is broken")
        return notices


def hold_ahead_count(*, steps_count, took_ms):
    """Return how many passes ahead the switch is, from the passes made lately.

    Args:
        steps_count: Passes that began while the map was prepared.
        took_ms: How long that took.
    """
    if steps_count <= 0:
        return HOLD_AHEAD_MOST_COUNT
    count = math.ceil(HOLD_AHEAD_MS * steps_count / took_ms)
    return min(HOLD_AHEAD_MOST_COUNT, max(HOLD_AHEAD_LEAST_COUNT, count))
