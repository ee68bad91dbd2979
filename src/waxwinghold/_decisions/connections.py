"""Decides how many idle connections a gateway keeps to a target.

It handles many gateways that keep connections to targets that accept few of them:
a target resets those beyond its limit. ``tests.test_decisions_connections`` replays it.
"""

IDLE_LIMIT_COUNT = 8  # About the number of slots of one target.
# Gateways whose counts are old send more requests to a target than it has slots.
IN_USE_PER_SLOT_COUNT = 2


def idle_limit_count(*, connections_limit_count, slots_count, gateways_count):
    """Return how many idle connections one gateway may keep to a target.

    Args:
        connections_limit_count: Connections that the target accepts from all
            gateways together; 0 if it is unknown.
        slots_count: Requests that the target can run at once.
        gateways_count: Gateways that send requests to the target.
    """
    if not connections_limit_count:
        return IDLE_LIMIT_COUNT
    idle_count = connections_limit_count - IN_USE_PER_SLOT_COUNT * slots_count
    return min(IDLE_LIMIT_COUNT, max(0, idle_count) // max(1, gateways_count))
