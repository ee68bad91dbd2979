"""Checks the system's guarantees against what callers and workers observed."""

from collections import Counter
from dataclasses import dataclass, field

NOT_RUN_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)
# Calls within this time after a disturbance of their gateway or a fault of the store
# are excused from the time limits.
DISTURBANCE_EXCUSE_S = 4.0
CONFIGURATION_LIMIT_S = 3.0
REVOCATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 3.0
ANNOUNCED_DRAIN_LIMIT_S = 2.0
PAUSE_SLACK_S = 0.5
PAUSE_ARRIVALS_LIMIT_COUNT = 2
# Possible delay between an event and its record, as two event loops share a busy
# host.
TIMING_TOLERANCE_S = 0.5
LOSS_SLACK_S = 0.2
CALL_LIMIT_S = 2.5  # The deadline that callers send.
RECOVERED_RATIO_MIN = 0.9


@dataclass(kw_only=True)
class Call:
    """One request and its answer, as the caller observed them.

    Times are in seconds of the event loop's clock.

    Args:
        kind: ``safe``, ``unsafe``, ``stream`` or ``once``.
        gateway: The ``Program`` that the request was sent to.
        incarnation: The gateway's ``starts_count`` when the request was sent.
        status: HTTP status, or ``None`` if the connection ended without an
            answer.
        sealed: Whether the answer carries the worker's ``Server-Seal`` header.
        complete: Whether the answer was received to its end.
        version: Version of the configuration whose route was called, or
            ``None`` for routes that always exist.
        undisturbed: Whether the gateway was not paused, and neither started nor
            sent a signal other than SIGHUP, from ``DISTURBANCE_EXCUSE_S`` before
            the request to its end.
        unharmed: The same, but the gateway may have been sent SIGTERM.
        links_calm: Whether no link to a worker was disturbed meanwhile.
        leaving_worker: Name of the worker that announced in the answer that it leaves.
        is_excused: Whether a missing answer is not the gateway's fault: the
            connection was not established, or the caller timed out.
    """

    request_id: str
    kind: str
    path: str
    key: str
    gateway: object
    incarnation: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    sealed: bool = False
    complete: bool = False
    body: bytes = b""
    version: int | None = None
    undisturbed: bool = False
    unharmed: bool = False
    links_calm: bool = False
    is_excused: bool = False
    leaving_worker: str = ""


@dataclass(kw_only=True)
class OperatorTimeline:
    """Records when the operator changed what.

    Times are in seconds of the event loop's clock.

    Attributes:
        acknowledged_at: When the store acknowledged each configuration, by
            version.
        revoked_at: When each key was revoked, by key.
        leaving_at: When each worker was listed as draining or removed, by name.
        store_fault_until: When the last fault of the store ended; infinity
            while one lasts.
        link_fault_until: When the last fault of a connection to a worker ended;
            infinity while one lasts.
        stalls: Start and end of each time in which this process did not run. Callers
            and workers, which share it, saw and did nothing meanwhile.
    """

    acknowledged_at: dict = field(default_factory=dict)
    revoked_at: dict = field(default_factory=dict)
    leaving_at: dict = field(default_factory=dict)
    store_fault_until: float = float("-inf")
    link_fault_until: float = float("-inf")
    stalls: list = field(default_factory=list)

    @property
    def store_silent_until(self):
        """When the store was last silent, by a fault or as it shares this process."""
        stall_ends = [
            stall_end
            for stall_begin, stall_end in self.stalls
            if stall_end - stall_begin > TIMING_TOLERANCE_S
        ]
        return max([self.store_fault_until, *stall_ends[-1:]])

    def stalled_s(self, begin, end):
        """Return for how many seconds between two times this process did not run."""
        return sum(
            max(0.0, min(end, stall_end) - max(begin, stall_begin))
            for stall_begin, stall_end in self.stalls
        )


class GuaranteeChecker:
    """Checks calls against the guarantees and collects violations as texts.

    Args:
        timeline: The ``OperatorTimeline``.
        workers: All ``SoakWorker`` objects.

    Attributes:
        violations: Texts that begin with the name of the violated rule.
        calls: Every ``Call`` so far.
    """

    def __init__(self, *, timeline, workers):
        self.timeline = timeline
        self.workers = workers
        self.violations = []
        self.calls = []
        self._served_versions = {}

    def check_call(self, call):
        """Record a finished call and check the rules that need no later data."""
        self.calls.append(call)
        if call.status == 200:
            self._check_answer(call)
            self._record_served_version(call)
        elif call.status in DENIED_STATUSES:
            self._check_denied(call)

    def check_record(self):
        """Check the rules that need all calls and all workers' arrivals."""
        run_counts, arrivals = self._run_counts_and_arrivals()
        for call in self.calls:
            count = run_counts.get(call.request_id, 0)
            if call.kind in ("unsafe", "once") and count > 1:
                self._add_violation("TWICE", call, f"ran {count} times")
            rejected = call.status in NOT_RUN_STATUSES and not call.sealed
            if rejected and call.kind in ("unsafe", "once") and count:
                self._add_violation(
                    "REFUSED", call, f"status {call.status} although it ran"
                )
            self._check_lost(call, arrivals.get(call.request_id, ()))
            self._check_revoked(call, arrivals)
            self._check_leaving(call, arrivals)
        self._check_announced_leaving(arrivals)
        self._check_pauses()

    def check_recovery(self, since):
        """Check that most of the calls sent after the faults were served.

        Calls that have a ``version`` are not counted.

        Args:
            since: Time from which calls are counted, in seconds of the event
                loop's clock.
        """
        recent = [
            call for call in self.calls if call.sent_at >= since and not call.version
        ]
        served = [call for call in recent if call.status == 200 and call.complete]
        if len(served) < RECOVERED_RATIO_MIN * len(recent) or not recent:
            counts = Counter(
                (call.gateway.name, call.kind, call.key, call.status) for call in recent
            )
            self.violations.append(
                f"RECOVER: {len(served)} of {len(recent)} served: "
                f"{counts.most_common(9)}"
            )

    def _check_lost(self, call, arrivals):
        """Check that a gateway ends no request that it has read, also when it stops."""
        is_due = call.undisturbed or call.unharmed
        if call.complete or not is_due or call.is_excused:
            return
        if call.status is not None:
            self._check_broken_stream(call, arrivals)
            return
        held_s = call.ended_at - call.sent_at
        held_s -= self.timeline.stalled_s(call.sent_at, call.ended_at)
        if arrivals or held_s > LOSS_SLACK_S + TIMING_TOLERANCE_S:
            self._add_violation(
                "LOST",
                call,
                f"reached {len(arrivals)} workers, and the connection closed "
                f"without an answer after {held_s:.2f} s",
            )

    def _check_broken_stream(self, call, arrivals):
        is_sound = arrivals and not any(arrival.broken for arrival in arrivals)
        # A stream that no worker has sent whole by the deadline ends there.
        due_at = call.sent_at + CALL_LIMIT_S
        is_late = call.ended_at >= due_at and all(
            arrival.ended_at > due_at - TIMING_TOLERANCE_S for arrival in arrivals
        )
        if is_sound and call.links_calm and not is_late:
            self._add_violation("LOST", call, "the gateway broke off a sound stream")

    def _check_answer(self, call):
        if not call.sealed:
            self._add_violation(
                "MIXED", call, "answer with status 200 lacks the worker's seal"
            )
        if not call.complete:
            return
        if call.kind in ("safe", "unsafe"):
            expected = f"the whole answer to {call.request_id} at {call.path}".encode()
            if call.body != expected:
                self._add_violation(
                    "MIXED", call, f"unexpected body {call.body[:80]!r}"
                )
            return
        ids = [
            int(line[4:]) for line in call.body.split(b"\n") if line.startswith(b"id: ")
        ]
        if ids != list(range(1, self.workers[0].events_count + 1)):
            self._add_violation("ORDER", call, f"events {ids}")

    def _record_served_version(self, call):
        if call.version:
            gateway_start = (call.gateway.name, call.incarnation)
            served = self._served_versions.get(gateway_start, (0, 0.0))
            self._served_versions[gateway_start] = max(
                served, (call.version, call.ended_at)
            )

    def _check_denied(self, call):
        if call.key in self.timeline.revoked_at and call.status == 401:
            return
        if call.version is None:
            self._add_violation(
                "DENIED", call, f"status {call.status} for an allowed request"
            )
            return
        gateway_start = (call.gateway.name, call.incarnation)
        served_version, served_at = self._served_versions.get(gateway_start, (0, 0.0))
        if served_version >= call.version and call.sent_at > served_at:
            self._add_violation(
                "CONFIG",
                call,
                f"route missing after version {served_version} was served",
            )
        due_at = (
            self.timeline.acknowledged_at[call.version]
            + CONFIGURATION_LIMIT_S
            + TIMING_TOLERANCE_S
        )
        excused = self.timeline.store_silent_until + DISTURBANCE_EXCUSE_S > call.sent_at
        if call.sent_at > due_at and call.undisturbed and not excused:
            self._add_violation(
                "CONFIG", call, f"version {call.version} is not applied yet"
            )

    def _check_revoked(self, call, arrivals):
        revoked_at = self.timeline.revoked_at.get(call.key)
        if revoked_at is None or call.sent_at <= revoked_at + REVOCATION_LIMIT_S:
            return
        if any(arrival.ran for arrival in arrivals.get(call.request_id, ())):
            self._add_violation("REVOKED", call, "ran with a revoked key")

    def _check_leaving(self, call, arrivals):
        for arrival in arrivals.get(call.request_id, ()):
            leaving_at = self.timeline.leaving_at.get(arrival.worker)
            if leaving_at is None or not call.undisturbed:
                continue
            if self.timeline.store_fault_until + DISTURBANCE_EXCUSE_S > leaving_at:
                continue
            if arrival.at > leaving_at + DRAIN_LIMIT_S + TIMING_TOLERANCE_S:
                self._add_violation(
                    "DRAIN", call, f"reached draining worker {arrival.worker}"
                )

    def _check_announced_leaving(self, arrivals):
        """Check that a gateway heeds the leaving that it has passed on to a caller."""
        told_at = {}
        for call in sorted(self.calls, key=lambda call: call.ended_at):
            if call.leaving_worker:
                key = (call.gateway.name, call.incarnation, call.leaving_worker)
                told_at.setdefault(key, call.ended_at)
        for call in self.calls:
            for arrival in arrivals.get(call.request_id, ()):
                key = (call.gateway.name, call.incarnation, arrival.worker)
                due_at = told_at.get(key, float("inf")) + ANNOUNCED_DRAIN_LIMIT_S
                if call.undisturbed and call.sent_at > due_at + TIMING_TOLERANCE_S:
                    self._add_violation(
                        "DRAIN", call, f"reached leaving worker {arrival.worker}"
                    )

    def _check_pauses(self):
        """Check that a gateway heeds the pauses that workers ask it for."""
        calls = {call.request_id: call for call in self.calls}
        for worker in self.workers:
            calm = [
                (arrival, calls[arrival.request_id])
                for arrival in worker.arrivals
                if arrival.request_id in calls
                and calls[arrival.request_id].undisturbed
                and calls[arrival.request_id].links_calm
            ]
            for arrival, call in calm:
                if arrival.pause_s:
                    self._check_pause(arrival, call, calm)

    def _check_pause(self, rejected, rejected_call, calm):
        starts_at = rejected.at + PAUSE_SLACK_S + TIMING_TOLERANCE_S
        sender = (rejected_call.gateway.name, rejected_call.incarnation)
        count = sum(
            starts_at < arrival.at < rejected.at + rejected.pause_s
            and (call.gateway.name, call.incarnation) == sender
            for arrival, call in calm
        )
        if count > PAUSE_ARRIVALS_LIMIT_COUNT:
            self._add_violation(
                "BUDGET",
                rejected_call,
                f"{rejected.worker} asked for {rejected.pause_s:g} s of rest and got "
                f"{count} requests",
            )

    def _run_counts_and_arrivals(self):
        run_counts, arrivals = {}, {}
        for worker in self.workers:
            for arrival in worker.arrivals:
                arrivals.setdefault(arrival.request_id, []).append(arrival)
                run_counts[arrival.request_id] = (
                    run_counts.get(arrival.request_id, 0) + arrival.ran
                )
        return run_counts, arrivals

    def _add_violation(self, rule, call, problem):
        where = f"{call.gateway.name}#{call.incarnation}"
        self.violations.append(
            f"{rule}: {call.request_id} ({call.kind} {call.path}) at {where}: {problem}"
        )
