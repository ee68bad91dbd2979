"""Reports of the commands for running processes: status, audit and drain."""

import datetime

import msgspec

from .._audit import AuditEntry
from .._clock import MS_PER_SECOND
from .._errors import WaxwingError
from .._keys import random_id
from .._messages import AuditQuery, DrainOrder, StatusQuery
from .process_client import ProcessClient, UnreachableError
from .reports import Report, text_table

EXIT_NEGATIVE = 1  # Sheets differ, or no target is possible for a call.
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

SIGNALS_COLUMNS = ("target", "seen by", "asks for", "time left (s)")


class UnknownProcessError(WaxwingError):
    """A process that is not in the operator's settings."""

    code = "unknown_process"
    exit_status = 2

    def __init__(self, *, name):
        super().__init__(f'process "{name}" is not in the settings')


async def status_report(settings):
    """Return the ``Report`` on the status of every process.

    The exit status is 1 if the processes have different sheets.
    """
    replies = await ProcessClient(settings=settings).query_all(StatusQuery)
    answered, missing = _split_replies(replies)
    rows = [msgspec.json.decode(reply.document) for reply in answered.values()]
    table = [[row.get(column, "") for column in STATUS_COLUMNS] for row in rows]
    sheets = {(row.get("sheet_version"), row.get("sheet_digest")) for row in rows}
    status = EXIT_NEGATIVE if len(sheets) > 1 else 0
    text = text_table(STATUS_COLUMNS, table)
    signals = _signals_rows(rows)
    if signals:
        text += "\n\n" + text_table(SIGNALS_COLUMNS, signals)
    return Report(
        text=_append_errors(text, missing),
        data={"processes": rows, "unreachable": sorted(missing)},
        status=UnreachableError.exit_status if missing else status,
    )


async def audit_report(settings, *, since_ms):
    """Return the ``Report`` on the merged audit trails, oldest entry first.

    Args:
        settings: The ``OperatorSettings``.
        since_ms: Wall time of the oldest entry to include.
    """
    replies = await ProcessClient(settings=settings).query_all(
        AuditQuery, since_ms=since_ms
    )
    answered, missing = _split_replies(replies)
    entries = [
        entry
        for reply in answered.values()
        for entry in msgspec.json.decode(reply.document, type=list[AuditEntry])
    ]
    entries.sort(key=lambda entry: (entry.wall_ms, entry.process))
    header = ("time", "process", "what", "subject", "before", "after", "by", "reason")
    rows = [
        (_time_text(entry.wall_ms), *(getattr(entry, name) for name in header[1:]))
        for entry in entries
    ]
    return Report(
        text=_append_errors(text_table(header, rows), missing),
        data={"entries": entries, "unreachable": sorted(missing)},
        status=UnreachableError.exit_status if missing else 0,
    )


async def drain_report(settings, *, process, reason):
    """Order one process to drain and return the ``Report`` on its reply.

    Args:
        settings: The ``OperatorSettings``.
        process: The process's name.
        reason: The reason, for the audit trail.

    Raises:
        UnknownProcessError: The process is not in the settings.
        UnreachableError: The process did not answer in time.
    """
    processes = {item.name: item for item in settings.processes}
    if process not in processes:
        raise UnknownProcessError(name=process)
    order = DrainOrder(query_id=random_id(), operator=settings.name, reason=reason)
    reply = await ProcessClient(settings=settings).query(processes[process], order)
    outcome = "accepted" if reply.accepted else "refused"
    return Report(
        text=f"{process}: {outcome}: {reply.reason}",
        data={
            "process": process,
            "accepted": reply.accepted,
            "reason": reply.reason,
        },
        status=0 if reply.accepted else EXIT_REFUSED,
    )


def _signals_rows(processes):
    """Return a row for each process that says that a target leaves or pauses.

    Args:
        processes: The status documents of entries and agents.
    """
    rows = []
    for process in processes:
        targets = process.get("targets", {})
        if "target_leaving" in process:
            own = {
                "leaving": process["target_leaving"],
                "pause_left_ms": process["pause_left_ms"],
            }
            targets = {process["name"]: own}
        for name, target in sorted(targets.items()):
            if target.get("leaving"):
                rows.append((name, process["name"], "leaving", ""))
            pause_left_ms = target.get("pause_left_ms", 0)
            if pause_left_ms:
                left_s = f"{pause_left_ms / MS_PER_SECOND:.1f}"
                rows.append((name, process["name"], "pause", left_s))
    return rows


def _split_replies(replies):
    """Return the replies and the ``UnreachableError`` objects, each by process."""
    missing = {
        name: reply
        for name, reply in replies.items()
        if isinstance(reply, UnreachableError)
    }
    answered = {name: reply for name, reply in replies.items() if name not in missing}
    return answered, missing


def _append_errors(text, missing):
    return "\n".join([text, *(str(error) for error in missing.values())])


def _time_text(wall_ms):
    time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time.isoformat(timespec="milliseconds")
