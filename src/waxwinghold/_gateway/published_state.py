"""What the platform publishes, as far as this gateway knows it, and how old it is."""

import logbook

from .routes import RouteTable

log = logbook.Logger("published")

NEVER_MS = float("-inf")


class PublishedState:
    """The configuration in force, the listed targets, and the age of both.

    The age counts from the moment at which the store was *asked*: an answer
    says nothing about what happened after it was on its way.

    Args:
        target_pool: The ``TargetPool`` that take in the targets.
        grace_ms: How long a target that the first list after an outage lacks
            is still used; a live one is listed again by then.
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
        """Return how old the knowledge is; infinite before the first answer."""
        return self._clock.now_ms() - self.asked_ms

    def record_answer(self, *, asked_ms):
        """Take in that all that the store knew at ``asked_ms`` is known here."""
        self.asked_ms = max(self.asked_ms, asked_ms)
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_ms = self._clock.now_ms()
            log.info("store is back")

    def record_failure(self, reason):
        """Take in that the store could not be read."""
        if not self._in_outage:
            self._in_outage = True
            log.warn("store cannot be read", extra={"reason": str(reason)})

    def apply_configuration(self, configuration):
        """Put ``configuration`` into force unless one as new is known."""
        if self.table is not None:
            known = self.table.configuration.version
            if configuration.version <= known:
                return
        self.table = RouteTable(configuration=configuration)
        self._target_pool.grouped_services = frozenset(
            name for name, service in configuration.services.items() if service.grouped
        )
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "customers": len(configuration.customers),
            },
        )

    def apply_targets(self, targets):
        """Take in the whole list of targets as the store holds it now."""
        listed = {target.name: target for target in targets}
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
        """Forget targets that were missing for longer than the grace."""
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
        """Return whether a missing target may only have lost its entry."""
        if self._in_outage:
            return True
        since_ms = self._missing_since_ms[name]
        if since_ms - self._outage_ended_ms > self._grace_ms:
            return False
        return self._clock.now_ms() - self._outage_ended_ms <= self._grace_ms
