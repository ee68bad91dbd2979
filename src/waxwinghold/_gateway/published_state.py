"""A gateway's copy of the published configuration and targets, and its age."""

import logbook

from .routes import RouteTable

log = logbook.Logger("published")

NEVER_MS = float("-inf")


class PublishedState:
    """The configuration in force, the listed targets, and the age of both.

    The age counts from the moment at which the call to the store was sent, because
    the answer may not contain changes that were made later.

    Args:
        target_pool: The ``TargetPool`` that gets the targets.
        grace_ms: How long in milliseconds a target that is missing after an outage
            of the store is still used. A live target is listed again by then.

    Attributes:
        table: The ``RouteTable`` of the configuration in force, or ``None``.
        asked_ms: When the call to the store was sent that confirmed this copy.
    """

    def __init__(self, *, clock, target_pool, grace_ms):
        self._clock = clock
        self._target_pool = target_pool
        self._grace_ms = grace_ms
        self._targets = {}
        self._missing_since_ms = {}
        self._outage_ended_ms = NEVER_MS
        self._in_outage = False
        self.table = None
        self.asked_ms = NEVER_MS

    @property
    def age_ms(self):
        """Return the age in milliseconds; infinite before the first answer."""
        return self._clock.now_ms() - self.asked_ms

    def record_answer(self, *, asked_ms):
        """Record that this copy holds all that the store held at ``asked_ms``."""
        self.asked_ms = max(self.asked_ms, asked_ms)
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_ms = self._clock.now_ms()
            log.info("store can be read again")

    def record_failure(self, reason):
        """Record that the store could not be read."""
        if not self._in_outage:
            self._in_outage = True
            log.warn("store cannot be read", extra={"reason": str(reason)})

    def apply_configuration(self, configuration):
        """Put ``configuration`` in force if it is newer than the current one."""
        if self.table is not None:
            current_version = self.table.configuration.version
            if configuration.version <= current_version:
                return
        self.table = RouteTable(configuration=configuration)
        self._target_pool.grouped_services = frozenset(
            name for name, service in configuration.services.items() if service.grouped
        )
        log.info(
            "configuration applied",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "customers": len(configuration.customers),
            },
        )

    def apply_targets(self, targets):
        """Replace the targets with the complete list that the store holds now.

        Targets that are missing because of an outage are kept for a while.
        """
        listed = {listing.name: listing for listing in targets}
        now_ms = self._clock.now_ms()
        for name in list(self._missing_since_ms):
            if name in listed:
                del self._missing_since_ms[name]
        for name in self._targets.keys() - listed.keys():
            self._missing_since_ms.setdefault(name, now_ms)
        kept = {
            name: self._targets[name]
            for name in self._missing_since_ms
            if name in self._targets and self._may_return(name)
        }
        self._targets = kept | listed
        self._target_pool.replace(self._targets.values())

    def drop_missing(self):
        """Remove missing targets whose grace period is over."""
        gone = [
            name
            for name in self._missing_since_ms
            if name in self._targets and not self._may_return(name)
        ]
        if not gone:
            return
        for name in gone:
            del self._targets[name]
        self._target_pool.replace(self._targets.values())

    def _may_return(self, name):
        """Return whether a missing target may be live and be listed again."""
        if self._in_outage:
            return True
        since_ms = self._missing_since_ms[name]
        if since_ms - self._outage_ended_ms > self._grace_ms:
            return False
        return self._clock.now_ms() - self._outage_ended_ms <= self._grace_ms
