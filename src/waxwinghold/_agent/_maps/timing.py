"""Time limits and intervals of the map change protocol."""

from dataclasses import dataclass

# Margin for the clocks of two hosts that run at different rates.
CLOCK_DRIFT_RATIO = 1.1


@dataclass(frozen=True, kw_only=True)
class MapTiming:
    """Time limits, intervals and step counts of the map change protocol.

    A phase lasts from an order to all members until each has executed it.

    Args:
        lease_ms: How long an agent acts after the last message from its leader,
            and a leader after the last message from another agent.
        beat_ms: Interval of a leader's ``MapBeat`` messages.
        retry_ms: Time after which a message without an answer is sent again.
        poll_ms: Interval of queries to an engine whose state is awaited.
        watch_ms: Interval of queries to an engine between map changes.
        claim_after_ms: Silence of the leader after which the first member
            claims the next term.
        claim_stagger_ms: Added to that for each member before this one.
        claim_jitter_ms: Upper limit of a random time that is also added.
        lost_ms: Silence after which a leader considers a member lost.
        phase_limit_ms: Time limit of a phase without loading, and of repeated
            failures of one agent in any phase.
        hold_limit_ms: Time limit for stopping all engines; after it the change
            is rolled back, as engines that have stopped stall the group. It is
            shorter than the lease, so that an agent whose answers do not arrive
            can still execute the order to resume.
        load_limit_ms: Time limit of a phase with loading.
        copy_life_ms: Time after an order during which a late copy of it can
            still reach the engine; twice the delay in the tests' network.
        ahead_steps_count: Steps between the last completed step and the switch.
    """

    lease_ms: float = 600.0
    beat_ms: float = 150.0
    retry_ms: float = 100.0
    poll_ms: float = 2.0
    watch_ms: float = 1000.0
    claim_after_ms: float = 1000.0
    claim_stagger_ms: float = 50.0
    claim_jitter_ms: float = 25.0
    lost_ms: float = 2000.0
    phase_limit_ms: float = 3000.0
    hold_limit_ms: float = 300.0
    load_limit_ms: float = 600_000.0
    copy_life_ms: float = 600.0
    ahead_steps_count: int = 10

    @property
    def join_wait_ms(self):
        """Time in which orders of a retired incarnation may still be executed.

        As a leader, it may send itself orders until its lease expires. As a
        member, it may execute them for one more lease.
        """
        return 2 * self.lease_ms * CLOCK_DRIFT_RATIO
