"""A nose2 plugin that counts results and tolerates the failures in KNOWN-RED.txt.

Each line of KNOWN-RED.txt is the id of a test, ``|`` and a note on the failure.
A test that is recorded there may fail; if it passes, the run fails, so that the
entry gets removed.
"""

import pathlib

from nose2 import events

RECORD = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"


def read_known_red(path=RECORD):
    """Return the notes on the tests recorded as failing, by test id.

    Args:
        path: The record; if the file is missing, nothing is recorded.
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line.partition("|") for line in lines if line and line[0] != "#"]
    return {name.strip(): note.strip() for name, _, note in entries}


class KnownRed(events.Plugin):
    """Counts outcomes; a recorded test passes if it fails, and fails if it passes."""

    configSection = "known-red"

    def __init__(self):
        self.recorded = read_known_red()
        self.passed_count = 0
        self.failed_count = 0
        self.skipped_count = 0
        self.report_lines = []

    def setTestOutcome(self, event):
        """Invert the outcome of a recorded test."""
        name = getattr(event.test, "test_case", event.test).id()
        if name not in self.recorded:
            return
        if _has_failed(event):
            event.outcome = "passed"
            event.exc_info = None
            event.expected = True
            self.report_lines.append(f"{name} | {self.recorded[name]}")
        elif event.outcome == "passed":
            event.outcome = "failed"
            event.expected = False
            self.report_lines.append(
                f"{name} | passes now: remove it from KNOWN-RED.txt"
            )

    def testOutcome(self, event):
        """Count an outcome; of subtests only failures are counted."""
        if event.outcome == "skipped":
            self.skipped_count += 1
        elif event.outcome == "subtest":
            # nose2 does not say whether a subtest's outcome was expected.
            self.failed_count += _has_failed(event)
        elif event.expected and not _has_failed(event):
            self.passed_count += 1
        else:
            self.failed_count += 1

    def afterSummaryReport(self, event):
        """Print the recorded tests that ran and the line with the counts."""
        for report_line in self.report_lines:
            event.stream.writeln(f"known red: {report_line}")
        line = f"{self.passed_count} passed, {self.failed_count} failed"
        if self.skipped_count:
            line += f", {self.skipped_count} skipped"
        event.stream.writeln(line)


def _has_failed(event):
    if event.outcome == "subtest":
        return event.exc_info is not None
    return event.outcome in ("failed", "error")
