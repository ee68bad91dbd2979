"""The commands of ``waxwing``."""

import asyncio

import msgspec
from fire.decorators import SetParseFns

from .._errors import SheetError
from .._settings import load_settings
from .._sheet.checking import problems
from .._sheet.model import Sheet
from .._sheet.reading import read_sheet_file, sheet_digest
from .configuration import configuration_page
from .differences import differences
from .explanation import explain
from .fleet import EXIT_DIFFERENCES, audit_report, drain_report, status_report
from .reports import Report, text_table
from .settings import OperatorSettings

# Without these, fire reads the version "2026.10" as the number 2026.1.
string_arguments = SetParseFns(
    **dict.fromkeys(
        (
            "sheet",
            "old",
            "new",
            "service",
            "call",
            "customer",
            "version",
            "settings",
            "process",
            "reason",
        ),
        str,
    )
)


class Tool:
    """Checks, compares and explains sheets; asks and drains running processes.

    Exit status: 0 all is well; 1 the sheets differ, or no target is possible;
    2 wrong usage; 3 broken settings; 4 invalid sheet; 6 a process gave no
    answer; 7 an order was refused.
    """

    @string_arguments
    def check(self, sheet, json=False):
        """Check a sheet against every rule and list its problems.

        Args:
            sheet: Path of the sheet.
            json: Print JSON for programs.
        """
        return _finished(_check(sheet), json)

    @string_arguments
    def diff(self, old, new, json=False):
        """Show what changes from one sheet to another.

        Args:
            old: Path of the sheet before.
            new: Path of the sheet after.
            json: Print JSON for programs.
        """
        return _finished(_diff(old, new), json)

    @string_arguments
    def explain(self, sheet, service, call, customer, version="", json=False):
        """Show which targets a call could go to by a sheet, and why not others.

        Args:
            sheet: Path of the sheet.
            service: The service that is called.
            call: The call of the service.
            customer: Who calls.
            version: The version that the caller asks for.
            json: Print JSON for programs.
        """
        names = {"service": service, "call": call, "customer": customer}
        report = _explain(sheet, version=version, **names)
        return _finished(report, json)

    def schema(self):
        """Print the JSON schema of the sheet."""
        schema = msgspec.json.schema(Sheet)
        return _finished(Report(text="", data=schema), True)

    def configuration(self):
        """Print the reference of all settings and of the sheet, in Markdown."""
        return _finished(
            Report(text=configuration_page().rstrip("\n"), data=None), False
        )

    @string_arguments
    def status(self, settings, json=False):
        """Show the status of running processes.

        Args:
            settings: Path of the operator's settings file.
            json: Print JSON for programs.
        """
        loaded = load_settings(settings, OperatorSettings)
        return _finished(asyncio.run(status_report(loaded)), json)

    @string_arguments
    def audit(self, settings, since_ms=0, json=False):
        """Show the changes that running processes made or refused.

        Args:
            settings: Path of the operator's settings file.
            since_ms: Wall time of the oldest entry to show.
            json: Print JSON for programs.
        """
        loaded = load_settings(settings, OperatorSettings)
        report = asyncio.run(audit_report(loaded, since_ms=int(since_ms)))
        return _finished(report, json)

    @string_arguments
    def drain(self, process, settings, reason, json=False):
        """Order a process to take no new work, finish what runs, and end.

        Args:
            process: The process's name.
            settings: Path of the operator's settings file.
            reason: Why, for the audit trail.
            json: Print JSON for programs.
        """
        loaded = load_settings(settings, OperatorSettings)
        order = drain_report(loaded, process=process, reason=reason)
        return _finished(asyncio.run(order), json)


class CommandResult:
    """A command's output and exit status; it has no commands of its own."""

    def __init__(self, *, output, status):
        self._output = output
        self._status = status

    def __str__(self):
        return self._output

    def __dir__(self):
        return ()


def exit_status(finished):
    """Return the exit status of what a command returned."""
    return finished._status if isinstance(finished, CommandResult) else 0


def _finished(report, as_json):
    return CommandResult(output=report.rendered(as_json=as_json), status=report.status)


def _check(path):
    sheet = read_sheet_file(path)
    found = problems(sheet)
    rows = [(error.table, error.row, error.reason) for error in found]
    summary = (
        f"version {sheet.version}, digest {sheet_digest(sheet)}: "
        f"{len(sheet.services)} services, {len(sheet.groups)} groups, "
        f"{len(sheet.targets)} targets, {len(sheet.customers)} customers"
    )
    header = ("table", "row", "problem")
    return Report(
        text=f"{summary}\n{text_table(header, rows) if rows else 'valid'}",
        data={
            "version": sheet.version,
            "digest": sheet_digest(sheet),
            "problems": [dict(zip(header, row)) for row in rows],
        },
        status=SheetError.exit_status if rows else 0,
    )


def _diff(old_path, new_path):
    found = differences(read_sheet_file(old_path), read_sheet_file(new_path))
    header = ("table", "row", "change", "column", "before", "after")
    rows = [[getattr(item, name) for name in header] for item in found]
    return Report(
        text=text_table(header, rows) if rows else "no differences",
        data=found,
        status=EXIT_DIFFERENCES if found else 0,
    )


def _explain(path, **names):
    found = explain(read_sheet_file(path), **names)
    if found.refusal:
        text = f"refused: {found.refusal}"
    else:
        text = _explanation_text(found)
    status = 0 if found.possible else EXIT_DIFFERENCES
    return Report(text=text, data=found, status=status)


def _explanation_text(found):
    versions = [
        (chance.version, f"{chance.share_percent:g}%", chance.reason)
        for chance in found.versions
    ]
    targets = sorted(found.targets, key=lambda chance: not chance.possible)
    rows = [
        ("yes" if row.possible else "no", row.target, row.data_centre, row.reason)
        for row in targets
    ]
    return "\n\n".join(
        (
            f"priority {found.priority}, deadline {found.deadline_ms} ms\n"
            f"{found.repeat}",
            text_table(("version", "share", "why"), versions),
            text_table(("possible", "target", "data centre", "why"), rows),
        )
    )
