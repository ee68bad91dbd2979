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
from .fleet import EXIT_NEGATIVE, audit_report, drain_report, status_report
from .reports import Report, text_table
from .settings import OperatorSettings

# Without this, fire parses the version "2026.10" as the number 2026.1.
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
    """Checks, compares and explains sheets; queries and drains running processes.

    Exit status: 0 success; 1 the sheets differ, or no target is possible; 2 wrong
    usage; 3 invalid settings; 4 invalid sheet; 6 a process did not answer; 7 an
    order was refused.
    """

    @string_arguments
    def check(self, sheet, json=False):
        """Check a sheet against every rule and list its problems.

        Args:
            sheet: Path of the sheet.
            json: Print JSON for programs.
        """
        return _make_result(_check(sheet), json)

    @string_arguments
    def diff(self, old, new, json=False):
        """Show the differences between two sheets.

        Args:
            old: Path of the old sheet.
            new: Path of the new sheet.
            json: Print JSON for programs.
        """
        return _make_result(_diff(old, new), json)

    @string_arguments
    def explain(self, sheet, service, call, customer, version="", json=False):
        """Show which targets a sheet allows for a call, and why it excludes the others.

        Args:
            sheet: Path of the sheet.
            service: The service's name.
            call: The call's name.
            customer: The name of the calling customer.
            version: The version that the caller asks for, if any.
            json: Print JSON for programs.
        """
        names = {"service": service, "call": call, "customer": customer}
        report = _explain(sheet, version=version, **names)
        return _make_result(report, json)

    def schema(self):
        """Print the JSON schema of the sheet."""
        schema = msgspec.json.schema(Sheet)
        return _make_result(Report(text="", data=schema), True)

    def configuration(self):
        """Print the reference of all settings and of the sheet, in Markdown."""
        return _make_result(
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
        return _make_result(asyncio.run(status_report(loaded)), json)

    @string_arguments
    def audit(self, settings, since_ms=0, json=False):
        """Show the changes that running processes made or rejected.

        Args:
            settings: Path of the operator's settings file.
            since_ms: Wall time of the oldest entry to show, in milliseconds.
            json: Print JSON for programs.
        """
        loaded = load_settings(settings, OperatorSettings)
        report = asyncio.run(audit_report(loaded, since_ms=int(since_ms)))
        return _make_result(report, json)

    @string_arguments
    def drain(self, process, settings, reason, json=False):
        """Order a process to take no new requests, finish those in flight, and end.

        Args:
            process: The process's name.
            settings: Path of the operator's settings file.
            reason: The reason, for the audit trail.
            json: Print JSON for programs.
        """
        loaded = load_settings(settings, OperatorSettings)
        coroutine = drain_report(loaded, process=process, reason=reason)
        return _make_result(asyncio.run(coroutine), json)


class CommandResult:
    """The output and exit status of a command.

    ``dir`` of an instance is empty, so that fire shows no subcommands for it.
    """

    def __init__(self, *, output, status):
        self._output = output
        self._status = status

    def __str__(self):
        return self._output

    def __dir__(self):
        return ()


def exit_status(result):
    """Return the exit status of a command's return value."""
    return result._status if isinstance(result, CommandResult) else 0


def _make_result(report, as_json):
    return CommandResult(output=report.rendered(as_json=as_json), status=report.status)


def _check(path):
    sheet = read_sheet_file(path)
    errors = problems(sheet)
    rows = [(error.table, error.row, error.reason) for error in errors]
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
    changes = differences(read_sheet_file(old_path), read_sheet_file(new_path))
    header = ("table", "row", "change", "column", "before", "after")
    rows = [[getattr(change, name) for name in header] for change in changes]
    return Report(
        text=text_table(header, rows) if rows else "no differences",
        data=changes,
        status=EXIT_NEGATIVE if changes else 0,
    )


def _explain(path, **names):
    explanation = explain(read_sheet_file(path), **names)
    if explanation.refusal:
        text = f"refused: {explanation.refusal}"
    else:
        text = _explanation_text(explanation)
    status = 0 if explanation.possible else EXIT_NEGATIVE
    return Report(text=text, data=explanation, status=status)


def _explanation_text(explanation):
    versions = [
        (option.version, f"{option.share_percent:g}%", option.reason)
        for option in explanation.versions
    ]
    targets = sorted(explanation.targets, key=lambda option: not option.possible)
    rows = [
        ("yes" if row.possible else "no", row.target, row.data_centre, row.reason)
        for row in targets
    ]
    return "\n\n".join(
        (
            f"priority {explanation.priority}, "
            f"deadline {explanation.deadline_ms} ms\n"
            f"{explanation.repeat}",
            text_table(("version", "share", "why"), versions),
            text_table(("possible", "target", "data centre", "why"), rows),
        )
    )
