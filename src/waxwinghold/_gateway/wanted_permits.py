"""Selects the targets for which a gateway asks for permits."""


def wanted_permits(targets, *, permits, now_ms):
    """Return the incarnations of targets that could take a request with a permit.

    A permit for a cold target is wanted only where that target has less load than each
    target that can be used without one: at equal load those are chosen first, and the
    permit would be lost to the other gateways.

    Args:
        targets: The ``TrackedTarget`` objects that a request may be sent to.
        permits: The ``Permits``.
    """
    wanted, cold = [], []
    lowest_load = float("inf")
    for target in targets:
        is_cold = permits.is_limited_as_cold(target.incarnation)
        if permits.may_send(target.incarnation):
            if target.is_usable(now_ms=now_ms) and not is_cold:
                lowest_load = min(lowest_load, _load(target, now_ms))
            continue
        if not target.is_usable_with_permit(now_ms=now_ms):
            continue
        if target.free_slots_count(now_ms=now_ms) > 0:
            (cold if is_cold else wanted).append(target)
    wanted += [target for target in cold if _load(target, now_ms) < lowest_load]
    return [target.incarnation for target in wanted]


def _load(target, now_ms):
    return target.total_in_flight_count(now_ms=now_ms) / target.listing.slots_count
