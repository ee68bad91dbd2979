"""Times of the protocol that keeps a group on one expert map."""

from dataclasses import dataclass

# Room for clocks of two hosts that do not tick equally fast.
CLOCK_DRIFT_RATIO = 1.1


@dataclass(frozen=True, kw_only=True)
class MapTiming:
    """Times and step counts of the protocol.

    Args:
        lease_ms: How long an agent acts on the last word from its leader, and
            a leader on the last word from another agent.
        beat_ms: Time between a leader's beats.
        retry_ms: Time after which a message without an answer is sent again.
        poll_ms: Time between looks at an engine that something is awaited of.
        watch_ms: Time between looks at an engine that nothing is awaited of.
        claim_after_ms: Silence of the leader after which the first member
            claims the next term.
        claim_stagger_ms: Added to that for each member before this one.
        claim_jitter_ms: A random time up to this is added too.
        lost_ms: Silence after which a leader gives a member up.
        phase_limit_ms: The longest that a phase without loading may take, and
            that one agent may fail in any phase.
        hold_limit_ms: The longest that stopping all engines may take before
            the change is given up, as some stand still meanwhile; shorter than
            the lease, so that an agent that is not heard can still be let go.
        load_limit_ms: The longest that a phase with loading may take.
        copy_life_ms: How long after an order a late copy of it can still reach
            the engine; twice the delay that the tests' network brings about.
        ahead_steps_count: Steps between the last known one and the switch.
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
        """How long the word of a retired incarnation may still be acted on.

        Its own lease as a leader, then that of the agent it leads: itself.
        """
        return 2 * self.lease_ms * CLOCK_DRIFT_RATIO
