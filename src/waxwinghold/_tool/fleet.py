"""Reports on running processes: status, audit trail, draining."""

import datetime

import msgspec

from .._audit import AuditEntry
from .._errors import WaxwingError
from .._keys import random_id
from .._messages import AuditQuery, DrainOrder, StatusQuery
from .process_client import ProcessClient, UnreachableError
from .reports import Report, text_table

EXIT_DIFFERENCES = 1
EXIT_REFUSED = 7
STATUS_COLUMNS = (
    "name",
    "role",
    "data_centre",
    "leaving",
    "in_flight_count",
    "sheet_version",
    "sheet_digest",
    "sheet_error",
)


class UnknownProcessError(WaxwingError):
    """A process that the operator's settings do not name."""

    code = "unknown_process"
    exit_status = 2

    def __init__(self, *, name):
        super().__init__(f'process "{name}" is not in the settings')


async def status_report(settings):
    """Return the status of every process; status 1 if their sheets differ."""
    replies = await ProcessClient(settings=settings).query_all(StatusQuery)
    found, missing = _sorted_out(replies)
    rows = [msgspec.json.decode(reply.document) for reply in found.values()]
    table = [[row.get(column, "") for column in STATUS_COLUMNS] for row in rows]
    sheets = {(row.get("sheet_version"), row.get("sheet_digest")) for row in rows}
    status = EXIT_DIFFERENCES if len(sheets) > 1 else 0
    return Report(
        text=_with_missing(text_table(STATUS_COLUMNS, table), missing),
        data={"processes": rows, "unreachable": sorted(missing)},
        status=UnreachableError.exit_status if missing else status,
    )


async def audit_report(settings, *, since_ms):
    """Return the audit trails of every process as one, oldest entry first."""
    replies = await ProcessClient(settings=settings).query_all(
        AuditQuery, since_ms=since_ms
    )
    found, missing = _sorted_out(replies)
    entries = [
        entry
        for reply in found.values()
        for entry in msgspec.json.decode(reply.document, type=list[AuditEntry])
    ]
    entries.sort(key=lambda entry: (entry.wall_ms, entry.process))
    header = ("time", "process", "what", "subject", "before", "after", "by", "reason")
    rows = [
        (_time_text(entry.wall_ms), *(getattr(entry, name) for name in header[1:]))
        for entry in entries
    ]
    return Report(
        text=_with_missing(text_table(header, rows), missing),
        data={"entries": entries, "unreachable": sorted(missing)},
        status=UnreachableError.exit_status if missing else 0,
    )


async def drain_report(settings, *, process, reason):
    """Order one process to drain and return what it said."""
    known = {item.name: item for item in settings.processes}
    if process not in known:
        raise UnknownProcessError(name=process)
    order = DrainOrder(query_id=random_id(), operator=settings.name, reason=reason)
    reply = await ProcessClient(settings=settings).query(known[process], order)
    word = "accepted" if reply.accepted else "refused"
    return Report(
        text=f"{process}: {word}: {reply.reason}",
        data={
            "process": process,
            "accepted": reply.accepted,
            "reason": reply.reason,
        },
        status=0 if reply.accepted else EXIT_REFUSED,
    )


def _sorted_out(replies):
    """Return the replies that came and the errors of those that did not."""
    missing = {
        name: reply
        for name, reply in replies.items()
        if isinstance(reply, UnreachableError)
    }
    found = {name: reply for name, reply in replies.items() if name not in missing}
    return found, missing


def _with_missing(text, missing):
    return "\n".join([text, *(str(error) for error in missing.values())])


def _time_text(wall_ms):
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")
