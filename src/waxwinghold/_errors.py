"""Exception classes, one for each cause, with stable error codes."""

from ._verdict import Ran, Verdict

UNKNOWN_CODE_STATUS = 503


class WaxwingError(Exception):
    """Base of every error that waxwinghold raises itself.

    Attributes:
        code: A stable name that programs may compare.
        exit_status: The exit status of a command that fails with this error.
    """

    code = "internal"
    exit_status = 1


class RequestError(WaxwingError):
    """Base of the errors that end a caller's request.

    Args:
        reason: One sentence for the caller.
        ran: Replaces the ``ran`` of the class.
        retry_after_ms: Replaces the ``retry_after_ms`` of the class.

    Attributes:
        status: The HTTP status that the caller gets.
        ran: Whether the request may have run.
        retry_after_ms: Time after which the caller may retry, or ``None``.
    """

    status = 500
    ran = Ran.NOT_RUN
    retry_after_ms = None

    def __init__(self, reason, *, ran=None, retry_after_ms=None):
        super().__init__(reason)
        if ran is not None:
            self.ran = ran
        if retry_after_ms is not None:
            self.retry_after_ms = retry_after_ms

    def verdict(self):
        """Return this error as a ``Verdict``."""
        return Verdict(
            ran=self.ran,
            code=self.code,
            reason=str(self),
            retry_after_ms=self.retry_after_ms,
        )


class UnknownCustomerError(RequestError):
    code = "unknown_customer"
    status = 401

    def __init__(self):
        super().__init__("the customer's name or token does not match the sheet")


class UnknownServiceError(RequestError):
    code = "unknown_service"
    status = 404

    def __init__(self, *, service):
        super().__init__(f'service "{service}" does not exist in the sheet')


class UnknownCallError(RequestError):
    code = "unknown_call"
    status = 404

    def __init__(self, *, call, service):
        super().__init__(f'call "{call}" does not exist in service "{service}"')


class UnknownVersionError(RequestError):
    code = "unknown_version"
    status = 404

    def __init__(self, *, version, service):
        super().__init__(f'version "{version}" does not exist in service "{service}"')


class UnknownAdapterError(RequestError):
    code = "unknown_adapter"
    status = 404

    def __init__(self, *, adapter, service, version):
        super().__init__(
            f'adapter "{adapter}" does not exist for version "{version}" '
            f'of service "{service}"'
        )


class ServiceNotAllowedError(RequestError):
    code = "service_not_allowed"
    status = 403

    def __init__(self, *, customer, service):
        super().__init__(f'customer "{customer}" may not use service "{service}"')


class BadRequestError(RequestError):
    code = "bad_request"
    status = 400


class BodyTooLargeError(RequestError):
    code = "body_too_large"
    status = 413

    def __init__(self, *, limit_bytes):
        super().__init__(f"the body is larger than {limit_bytes} bytes")


class KeyRequiredError(RequestError):
    code = "key_required"
    status = 428

    def __init__(self, *, call, service):
        super().__init__(
            f'call "{call}" runs at most once and needs a key: '
            f"POST /v1/services/{service}/keys, then send it as Idempotency-Key"
        )


class MalformedKeyError(RequestError):
    code = "malformed_key"
    status = 400

    def __init__(self, *, service):
        super().__init__(
            "the Idempotency-Key was not issued by this system: "
            f"POST /v1/services/{service}/keys to get one"
        )


class KeyExpiredError(RequestError):
    code = "key_expired"
    status = 410
    ran = Ran.MAY_HAVE_RUN

    def __init__(self):
        super().__init__("the key has expired and its record was deleted")


class KeyMismatchError(RequestError):
    code = "key_mismatch"
    status = 422

    def __init__(self, *, what):
        super().__init__(f"the key was used or issued for another {what}")


class KeyOwnerLostError(RequestError):
    code = "key_home_lost"
    status = 503
    ran = Ran.MAY_HAVE_RUN

    def __init__(self, *, target):
        super().__init__(
            f'target "{target}" no longer has the record of this key; '
            "the outcome is unknown"
        )


class TargetUnreachableError(RequestError):
    """The entry has no link to the target that has the request or its key."""

    code = "target_unreachable"
    status = 503
    ran = Ran.MAY_HAVE_RUN
    retry_after_ms = 2000


class NoTargetError(RequestError):
    code = "no_target"
    status = 503
    retry_after_ms = 1000

    def __init__(self, *, service, version):
        super().__init__(
            f'no healthy target for service "{service}", version "{version}"'
        )


class OverloadedError(RequestError):
    code = "overloaded"
    status = 429
    retry_after_ms = 1000


class DeadlineError(RequestError):
    code = "deadline"
    status = 504


class SuspectRequestError(RequestError):
    code = "crashes_targets"
    status = 422
    ran = Ran.MAY_HAVE_RUN

    def __init__(self, *, crashes_count):
        super().__init__(
            f"this request was running on {crashes_count} targets when they "
            "crashed and is rejected permanently"
        )


class SuspectPromptError(RequestError):
    code = "crashing_prompt"
    status = 422
    ran = Ran.NOT_RUN

    def __init__(self):
        super().__init__(
            "prompts that begin like this one crashed several targets and are "
            "rejected for some minutes"
        )


class DrainingError(RequestError):
    code = "draining"
    status = 503
    retry_after_ms = 1000


class TargetFailedError(RequestError):
    code = "target_failed"
    status = 502
    ran = Ran.MAY_HAVE_RUN


class TargetCrashedError(TargetFailedError):
    """The target was lost while the request was in flight."""

    code = "target_crashed"
    retry_after_ms = 1000


class TargetRefusedError(TargetFailedError):
    """The agent could not connect to its target, so the request did not run."""

    code = "target_refused"
    status = 503
    ran = Ran.NOT_RUN
    retry_after_ms = 1000


class TargetPausedError(RequestError):
    """The target has asked its agent for a pause, and has not run the request."""

    code = "target_paused"
    status = 503

    def __init__(self, *, retry_after_ms):
        super().__init__("the target asked for a pause", retry_after_ms=retry_after_ms)


class TargetLimitedError(RequestError):
    """The target has reached the limit that it named, and has not run the request."""

    code = "target_limited"
    status = 503

    def __init__(self, *, retry_after_ms):
        super().__init__(
            "the target has reached its limit", retry_after_ms=retry_after_ms
        )


class PausedTargetsError(RequestError):
    """All targets that could run the request have asked for a pause."""

    code = "targets_paused"
    status = 503

    def __init__(self, *, service, version, retry_after_ms):
        super().__init__(
            f'all targets of service "{service}", version "{version}" '
            "asked for a pause",
            retry_after_ms=retry_after_ms,
        )


class AnswerNotKeptError(RequestError):
    code = "answer_not_kept"
    status = 409
    ran = Ran.RAN


class InternalError(RequestError):
    """A fault of this process; whether the request ran is unknown."""

    ran = Ran.MAY_HAVE_RUN

    def __init__(self):
        super().__init__("internal error in the entry; its log has the cause")


class CancelledError(RequestError):
    code = "cancelled"
    status = 409
    ran = Ran.MAY_HAVE_RUN


class UnknownRequestError(RequestError):
    code = "unknown_request"
    status = 404
    ran = Ran.MAY_HAVE_RUN


def status_of(code):
    """Return the HTTP status of the request error with ``code``, or 503."""
    return _statuses(RequestError).get(code, UNKNOWN_CODE_STATUS)


def _statuses(kind):
    statuses = {kind.code: kind.status}
    for subclass in kind.__subclasses__():
        statuses.update(_statuses(subclass))
    return statuses


class SettingsError(WaxwingError):
    """A settings file that cannot be read or has an invalid key."""

    code = "settings"
    exit_status = 3

    def __init__(self, *, file, key, expected):
        super().__init__(f'settings "{file}": key "{key}": expected {expected}')


class SheetError(WaxwingError):
    """A sheet that is not valid.

    Attributes:
        table: The table of the invalid row; "(sheet)" for the whole sheet.
        row: The name of the invalid row.
        reason: The problem of the row.
    """

    code = "sheet"
    exit_status = 4

    def __init__(self, *, table, row, reason):
        super().__init__(f'row "{row}" of table "{table}": {reason}')
        self.table = table
        self.row = row
        self.reason = reason


class SheetConflictError(WaxwingError):
    """Two sheets with the same version and different contents."""

    code = "sheet_conflict"
    exit_status = 5

    def __init__(self, *, version):
        super().__init__(
            f'sheet version "{version}" was published with different contents'
        )
        self.version = version
