"""A gateway's copy of the published configuration and targets, and its age."""

from collections import OrderedDict

import logbook

from .._decisions.pass_limit import pass_goals
from .routes import RouteTable

log = logbook.Logger("published")

NEVER_MS = float("-inf")
# Targets write their entries again within this time after the store came back from a
# copy, or the copy's entries of dead targets expire.
RESTORED_LIMIT_MS = 5000.0
GONE_LIMIT_COUNT = 512  # Removed targets that are remembered.


class PublishedState:
    """The configuration in force, the listed targets, the evacuations, and their age.

    The age counts from the moment at which the call to the store was sent, because
    the answer may not contain changes that were made later.

    Args:
        target_pool: The ``TargetPool`` that gets the targets.
        grace_ms: How long in milliseconds a target that is missing after an outage
            of the store is still used. A live target is listed again by then.

    Attributes:
        table: The ``RouteTable`` of the configuration in force, or ``None``.
        lost_version: Version of the configuration in force, if the store came back
            from a copy since it was accepted and has not shown it again; 0 otherwise.
        asked_ms: When the call to the store was sent that confirmed this copy.
        restored_ms: When this process saw that the store came back from a copy.
        age_at_restore_ms: Age of this copy at that time.
    """

    def __init__(self, *, clock, target_pool, grace_ms):
        self._clock = clock
        self._target_pool = target_pool
        self._grace_ms = grace_ms
        self._targets = {}
        self._missing_since_ms = {}
        self._outage_ended_ms = NEVER_MS
        self._in_outage = False
        self.restored_ms = NEVER_MS
        self.age_at_restore_ms = 0.0
        self._before_restore = None
        # Start times of targets that were removed, by name.
        self._gone = OrderedDict()
        self._written_names = set()
        self._listed = {}
        # Evacuated data centres that no listed target is in.
        self._unlisted_evacuated = set()
        self.table = None
        self.lost_version = 0
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
        if configuration.version >= self.lost_version:
            self.lost_version = 0
        if self.table is not None:
            current_version = self.table.configuration.version
            if configuration.version <= current_version:
                return
        self.table = RouteTable(configuration=configuration)
        self._target_pool.grouped_services = frozenset(
            name for name, service in configuration.services.items() if service.grouped
        )
        self._target_pool.connection_limits = {
            name: service.connections_limit_count
            for name, service in configuration.services.items()
        }
        self._target_pool.cold_tracking.configure(configuration.services)
        if self._target_pool.limits_passes:
            self._target_pool.pass_goals = pass_goals(configuration)
        log.info(
            "configuration applied",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "customers": len(configuration.customers or ()),
            },
        )

    def begin_era(self):
        """Record that the store came back from a copy that is some seconds old.

        Until its entries are written again, this copy is newer than the store: the
        configuration is replaced only by a higher version anyway, and a target is as it
        was here, also if it was gone.
        """
        self.record_failure("the store came back from a copy")
        self.restored_ms = self._clock.now_ms()
        self.age_at_restore_ms = self.age_ms
        self._before_restore = dict(self._targets)
        if self.table is not None:
            self.lost_version = self.table.configuration.version
        self._written_names.clear()
        self._target_pool.evacuations.begin_era(now_ms=self.restored_ms)

    def replace_evacuations(self, listed):
        """Replace the evacuated data centres with those that the store holds now.

        Must be called before ``apply_targets``, so that no target of these data centres
        gets requests in between.

        Args:
            listed: The revision of each evacuation's write, by data centre.
        """
        evacuations = self._target_pool.evacuations
        changed = evacuations.replace(listed, now_ms=self._clock.now_ms())
        self._apply_evacuations(*changed)

    def record_evacuations(self, changes):
        """Apply changes of evacuated data centres.

        Args:
            changes: The revision of the last write by data centre, or ``None`` where
                the evacuation was deleted.
        """
        evacuations = self._target_pool.evacuations
        changed = evacuations.record_changes(changes, now_ms=self._clock.now_ms())
        self._apply_evacuations(*changed)
        self._check_evacuated_names()

    def _apply_evacuations(self, begun, ended):
        for name in sorted(begun):
            log.warn("evacuation of a data centre began", extra={"data_centre": name})
        for name in sorted(ended):
            log.info("evacuation of a data centre ended", extra={"data_centre": name})
        for target in self._target_pool:
            if target.listing.data_centre in ended:
                # Its caches are empty, as it had no traffic.
                self._target_pool.cold_tracking.record_start(target, reason="evacuated")
        if begun or ended:
            self._target_pool.notify_listeners()

    def _check_evacuated_names(self):
        """Log evacuated data centres that no listed target is in, each once."""
        evacuations = self._target_pool.evacuations
        if not len(evacuations) and not self._unlisted_evacuated:
            return
        known = {target.data_centre for target in self._targets.values()}
        unlisted = {name for name in evacuations if name not in known}
        for name in sorted(unlisted - self._unlisted_evacuated):
            log.warn(
                "evacuated data centre has no listed target",
                extra={"data_centre": name},
            )
        self._unlisted_evacuated = unlisted

    def record_written(self, name):
        """Record that the entry of a target was written or deleted in this era."""
        if self._is_restored():
            self._written_names.add(name)

    def apply_targets(self, targets):
        """Replace the targets with the complete list that the store holds now.

        Targets that are missing because of an outage are kept for a while.
        """
        self._listed = {listing.name: listing for listing in targets}
        listed = self._listed
        if self._is_restored():
            listed = {
                name: self._newest(name, listing)
                for name, listing in listed.items()
                if not self._is_gone(name, listing)
            }
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
        self._record_gone(self._targets.keys() - kept.keys() - listed.keys())
        self._targets = kept | listed
        self._check_evacuated_names()
        self._target_pool.replace(self._targets.values())

    def drop_missing(self):
        """Remove what held only for a while after an outage or a restore."""
        ended = self._target_pool.evacuations.end_restore(now_ms=self._clock.now_ms())
        self._apply_evacuations(*ended)
        if self._before_restore is not None and not self._is_restored():
            self._before_restore = None
            self.apply_targets(self._listed.values())
        gone = [
            name
            for name in self._missing_since_ms
            if name in self._targets and not self._may_return(name)
        ]
        if not gone:
            return
        self._record_gone(gone)
        for name in gone:
            del self._targets[name]
        self._target_pool.replace(self._targets.values())

    def _may_return(self, name):
        """Return whether a missing target may be live and be listed again."""
        if self._in_outage:
            return True
        if self._is_restored():
            return name not in self._written_names
        since_ms = self._missing_since_ms[name]
        if since_ms - self._outage_ended_ms > self._grace_ms:
            return False
        return self._clock.now_ms() - self._outage_ended_ms <= self._grace_ms

    def _record_gone(self, names):
        for name in names:
            self._gone[name] = self._targets[name].born_ms
            self._gone.move_to_end(name)
        while len(self._gone) > GONE_LIMIT_COUNT:
            self._gone.popitem(last=False)

    def _is_gone(self, name, listing):
        """Return whether the store lists a target only because it lost its removal."""
        return name not in self._written_names and (
            self._gone.get(name) == listing.born_ms
        )

    def _newest(self, name, listing):
        """Return what is known about a target that a restored store lists."""
        if name in self._written_names:
            return listing
        known = self._before_restore.get(name, listing)
        return known if known.born_ms == listing.born_ms else listing

    def _is_restored(self):
        """Return whether the store may still hold entries of its copy."""
        return self._clock.now_ms() - self.restored_ms < RESTORED_LIMIT_MS
