"""Tells a gateway's ``ColdTargets`` what lists and agents say, and logs it."""

import logbook

from .._decisions.cold_targets import ColdRule, ColdTargets

log = logbook.Logger("targets")


class ColdTracking:
    """Keeps the ``ColdTargets`` of a gateway up to date.

    Attributes:
        cold: The ``ColdTargets``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self.cold = ColdTargets()

    def configure(self, services):
        """Apply the services of a configuration, given by name."""
        self.cold.configure(
            {
                name: ColdRule(
                    cold_ms=service.cold_ms, per_second=service.cold_per_second
                )
                for name, service in services.items()
                if service.cold_per_second > 0
            }
        )

    def record_listings(self, targets):
        """Record the entries of ``TrackedTarget`` objects after a new list."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        for target in targets:
            was_cold = self._is_cold(target, now_ms)
            listing = target.listing
            self.cold.record_listing(
                target.incarnation,
                service=listing.service,
                slots_count=listing.slots_count,
                born_ms=listing.born_ms,
                left_ms=listing.cold_left_ms,
                written=listing.written,
                now_ms=now_ms,
                wall_ms=wall_ms,
            )
            self._log_turn(target, was_cold, now_ms, reason="listed")

    def record_start(self, target, *, reason):
        """Record that a ``TrackedTarget`` has started again, or gets traffic again."""
        now_ms = self._clock.now_ms()
        was_cold = self._is_cold(target, now_ms)
        self.cold.record_start(target.incarnation, now_ms=now_ms)
        self._log_turn(target, was_cold, now_ms, reason=reason)

    def record_rank(self, target, *, born_ms, sender_ip):
        """Record the start time that the agent of a target's host tells.

        The agent may know of a start before the list does.
        """
        listing = target.listing
        if born_ms <= target.agent_born_ms or sender_ip != listing.address[0]:
            return
        if 0 < listing.born_ms < born_ms:
            self.record_start(target, reason="started")
        target.agent_born_ms = born_ms

    def count(self, targets):
        """Return how many of the ``TrackedTarget`` objects are cold."""
        now_ms = self._clock.now_ms()
        return sum(self._is_cold(target, now_ms) for target in targets)

    def _is_cold(self, target, now_ms):
        return self.cold.left_ms(target.incarnation, now_ms=now_ms) > 0

    def _log_turn(self, target, was_cold, now_ms, *, reason):
        left_ms = self.cold.left_ms(target.incarnation, now_ms=now_ms)
        if left_ms and not was_cold:
            log.info(
                "target turned cold",
                extra={
                    "target": target.listing.name,
                    "service": target.listing.service,
                    "reason": reason,
                    "cold_ms": round(left_ms),
                },
            )
