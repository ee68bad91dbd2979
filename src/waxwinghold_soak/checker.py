"""What the system promises, judged by what callers and workers have seen."""

from collections import Counter
from dataclasses import dataclass, field

NOT_RUN_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)
DISTURBANCE_EXCUSE_S = 4.0  # A process that was paused or restarted earlier is excused.
CONFIGURATION_LIMIT_S = 3.0
REVOCATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 3.0
TIMING_TOLERANCE_S = (
    0.5  # Two event loops and a busy machine lie between sight and deed.
)
RECOVERED_RATIO_MIN = 0.9


@dataclass(kw_only=True)
class Call:
    """One request as its caller saw it.

    Args:
        kind: ``safe``, ``unsafe``, ``stream`` or ``once``.
        gateway: The ``Program`` that it was sent to, and which start of it.
        status: ``None`` if the connection ended without an answer.
        complete: Whether the answer came to its proper end.
        version: The configuration whose route it asked for, or ``None``.
        undisturbed: Whether the gateway was undisturbed from before to the end.
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
    is_excused: bool = False


@dataclass(kw_only=True)
class OperatorTimeline:
    """What the operator did, and when.

    Attributes:
        acknowledged_at: When each configuration was, by version.
        revoked_at: When each key was taken away.
        leaving_at: When each worker was listed as leaving.
        store_fault_until: End of the last trouble of the store.
    """

    acknowledged_at: dict = field(default_factory=dict)
    revoked_at: dict = field(default_factory=dict)
    leaving_at: dict = field(default_factory=dict)
    store_fault_until: float = float("-inf")


class GuaranteeChecker:
    """Collects broken promises as text.

    Args:
        timeline: The ``OperatorTimeline``.
        workers: All ``SoakWorker`` objects.
    """

    def __init__(self, *, timeline, workers):
        self.timeline = timeline
        self.workers = workers
        self.violations = []
        self.calls = []
        self._served_versions = {}

    def check_call(self, call):
        """Judge what one call shows by itself."""
        self.calls.append(call)
        if call.status == 200:
            self._check_answer(call)
            self._note_version(call)
        elif call.status in DENIED_STATUSES:
            self._check_denied(call)

    def check_record(self):
        """Judge what only the whole record shows."""
        runs, arrivals = self._runs()
        for call in self.calls:
            count = runs.get(call.request_id, 0)
            if call.kind in ("unsafe", "once") and count > 1:
                self._break("TWICE", call, f"ran {count} times")
            refused = call.status in NOT_RUN_STATUSES and not call.sealed
            if refused and call.kind in ("unsafe", "once") and count:
                self._break("REFUSED", call, f"{call.status} though it ran")
            lost = call.status is None and call.undisturbed and not call.is_excused
            if lost and call.request_id in arrivals:
                self._break("LOST", call, "passed on, then closed unanswered")
            self._check_revoked(call, arrivals)
            self._check_leaving(call, arrivals)

    def check_recovery(self, since):
        """Judge whether calls sent after ``since`` were served."""
        late = [
            call for call in self.calls if call.sent_at >= since and not call.version
        ]
        served = [call for call in late if call.status == 200 and call.complete]
        if len(served) < RECOVERED_RATIO_MIN * len(late) or not late:
            seen = Counter(
                (call.gateway.name, call.kind, call.key, call.status) for call in late
            )
            self.violations.append(
                f"RECOVER: {len(served)} of {len(late)} served: {seen.most_common(9)}"
            )

    def _check_answer(self, call):
        if not call.sealed:
            self._break("MIXED", call, "a success without the worker's seal")
        if not call.complete:
            return
        if call.kind in ("safe", "unsafe"):
            expected = f"the whole answer to {call.request_id} at {call.path}".encode()
            if call.body != expected:
                self._break("MIXED", call, f"got {call.body[:80]!r}")
            return
        ids = [
            int(line[4:]) for line in call.body.split(b"\n") if line.startswith(b"id: ")
        ]
        if ids != list(range(1, self.workers[0].events_count + 1)):
            self._break("ORDER", call, f"events {ids}")

    def _note_version(self, call):
        if call.version:
            key = (call.gateway.name, call.incarnation)
            served = self._served_versions.get(key, (0, 0.0))
            self._served_versions[key] = max(served, (call.version, call.ended_at))

    def _check_denied(self, call):
        if call.key in self.timeline.revoked_at and call.status == 401:
            return
        if call.version is None:
            self._break("DENIED", call, f"{call.status} for what is allowed")
            return
        key = (call.gateway.name, call.incarnation)
        version, at = self._served_versions.get(key, (0, 0.0))
        if version >= call.version and call.sent_at > at:
            self._break("CONFIG", call, f"went back behind version {version}")
        due = (
            self.timeline.acknowledged_at[call.version]
            + CONFIGURATION_LIMIT_S
            + TIMING_TOLERANCE_S
        )
        excused = self.timeline.store_fault_until + DISTURBANCE_EXCUSE_S > call.sent_at
        if call.sent_at > due and call.undisturbed and not excused:
            self._break("CONFIG", call, f"version {call.version} is not in force")

    def _check_revoked(self, call, arrivals):
        revoked_at = self.timeline.revoked_at.get(call.key)
        if revoked_at is None or call.sent_at <= revoked_at + REVOCATION_LIMIT_S:
            return
        if any(one.ran for one in arrivals.get(call.request_id, ())):
            self._break("REVOKED", call, "ran with a key that was taken away")

    def _check_leaving(self, call, arrivals):
        for one in arrivals.get(call.request_id, ()):
            left_at = self.timeline.leaving_at.get(one.worker)
            if left_at is None or not call.undisturbed:
                continue
            if self.timeline.store_fault_until + DISTURBANCE_EXCUSE_S > left_at:
                continue
            if one.at > left_at + DRAIN_LIMIT_S + TIMING_TOLERANCE_S:
                self._break("DRAIN", call, f"reached leaving worker {one.worker}")

    def _runs(self):
        runs, arrivals = {}, {}
        for worker in self.workers:
            for one in worker.arrivals:
                arrivals.setdefault(one.request_id, []).append(one)
                runs[one.request_id] = runs.get(one.request_id, 0) + one.ran
        return runs, arrivals

    def _break(self, rule, call, what):
        where = f"{call.gateway.name}#{call.incarnation}"
        self.violations.append(
            f"{rule}: {call.request_id} ({call.kind} {call.path}) at {where}: {what}"
        )
