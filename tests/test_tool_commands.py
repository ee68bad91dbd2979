"""Tests the output and the exit status of the commands of ``waxwing``."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec

from waxwinghold._settings import AgentSettings, EntrySettings, load_settings
from waxwinghold._sheet import problems, read_sheet_file, write_sheet
from waxwinghold._tool import main
from waxwinghold._tool.configuration import SECTIONS, configuration_page, meanings
from waxwinghold._tool.settings import OperatorSettings

from .sheet_builder import make_sheet

ROOT = pathlib.Path(__file__).parents[1]
EXAMPLES = ROOT / "examples"
GUILD = str(EXAMPLES / "guild.sheet.json5")


def run_tool(*arguments):
    """Return the exit status, output and error output of ``waxwing``."""
    output, errors = io.StringIO(), io.StringIO()
    command = ["waxwing", *map(str, arguments)]
    with (
        mock.patch("sys.argv", command),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            main()
            status = 0
        except SystemExit as exit_error:
            status = exit_error.code
    return status, output.getvalue(), errors.getvalue()


class SheetCommandTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def save(self, name, sheet):
        path = self.folder / name
        path.write_bytes(write_sheet(sheet))
        return path

    def test_check_accepts_a_valid_sheet_and_lists_the_invalid_row(self):
        self.assertEqual(run_tool("check", GUILD)[0], 0)
        invalid = self.save("invalid", make_sheet(targets=()))
        status, output, _ = run_tool("check", invalid, "--json")
        self.assertEqual(status, 4)
        rows = [item["row"] for item in msgspec.json.decode(output)["problems"]]
        self.assertIn("fitting-a", rows)

    def test_a_missing_file_and_wrong_usage_have_different_exit_statuses(self):
        status, _, errors = run_tool("check", self.folder / "none")
        self.assertEqual(status, 4)
        self.assertIn("cannot be read", errors)
        self.assertEqual(run_tool("check")[0], 2)
        self.assertEqual(run_tool("no-such-command")[0], 2)

    def test_diff_lists_the_changed_column(self):
        sheet = make_sheet()
        old = self.save("old", sheet)
        new = self.save("new", make_sheet(2, customers=sheet.customers[1:]))
        self.assertEqual(run_tool("diff", old, old)[0], 0)
        status, output, _ = run_tool("diff", old, new, "--json")
        self.assertEqual(status, 1)
        changes = {
            (item["table"], item["row"], item["change"], item["after"])
            for item in msgspec.json.decode(output)
        }
        expected = {
            ("(sheet)", "", "changed", "2"),
            ("customers", "lautoka-sports", "removed", ""),
        }
        self.assertEqual(changes, expected)

    def explain(self, customer, *options):
        """Return exit status, explanation and possible targets for a customer."""
        status, output, _ = run_tool(
            "explain", GUILD, "fitting", "ask", customer, "--json", *options
        )
        explanation = msgspec.json.decode(output)
        possible = {row["target"] for row in explanation["targets"] if row["possible"]}
        return status, explanation, possible

    def test_explain_uses_shares_and_versions_of_customer_and_caller(self):
        status, _, all_targets = self.explain("lautoka-alpine")
        self.assertEqual((status, len(all_targets)), (0, 16))
        newer = {f"fitting-{number}" for number in range(5, 9)}
        self.assertEqual(self.explain("sigatoka-slopes")[2], newer)
        _, explanation, older = self.explain("sigatoka-slopes", "--version", "2026.11")
        self.assertEqual(older, all_targets - newer)
        reasons = {row["target"]: row["reason"] for row in explanation["targets"]}
        self.assertEqual(reasons["fitting-5"], 'runs version "2026.12"')
        self.assertEqual(reasons["booking-1"], 'serves service "booking"')

    def test_a_version_that_looks_like_a_number_is_parsed_as_text(self):
        status, explanation, _ = self.explain("lautoka-alpine", "--version", "2026.110")
        self.assertEqual(status, 1)
        self.assertIn('version "2026.110" does not exist', explanation["refusal"])

    def test_explain_reports_why_a_customer_is_rejected(self):
        status, explanation, possible = self.explain("coral-coast-tour-desk")
        self.assertEqual((status, possible), (1, set()))
        self.assertIn("service_not_allowed", explanation["refusal"])

    def test_the_schema_is_json_and_has_every_table(self):
        status, output, _ = run_tool("schema")
        self.assertEqual(status, 0)
        properties = msgspec.json.decode(output)["$defs"]["Sheet"]["properties"]
        self.assertLessEqual({"services", "targets", "customers"}, set(properties))

    def test_invalid_settings_have_their_own_exit_status(self):
        path = self.folder / "settings"
        path.write_text('{name: "mere", proceses: []}')
        status, _, errors = run_tool("status", path)
        self.assertEqual(status, 3)
        self.assertIn('key "proceses": expected "processes"', errors)


class ExampleTests(unittest.TestCase):
    def test_the_example_sheets_are_valid_and_have_the_expected_size(self):
        for name in ("guild", "archive"):
            sheet = read_sheet_file(EXAMPLES / f"{name}.sheet.json5")
            self.assertEqual(problems(sheet), (), name)
            sizes = len(sheet.targets), len(sheet.customers)
            self.assertEqual(sizes, (19, 10), name)
            self.assertEqual(len({row.data_centre for row in sheet.targets}), 3)

    def test_a_group_stays_within_one_data_centre(self):
        for name in ("guild", "archive"):
            sheet = read_sheet_file(EXAMPLES / f"{name}.sheet.json5")
            pairs = {(t.group, t.data_centre) for t in sheet.targets if t.group}
            self.assertEqual(len(pairs), len(sheet.groups))

    def test_the_example_settings_load(self):
        for kind, name in (
            (EntrySettings, "entry"),
            (AgentSettings, "agent"),
            (OperatorSettings, "operator"),
        ):
            settings = load_settings(EXAMPLES / f"{name}.settings.json5", kind)
            self.assertTrue(settings.name)


class ConfigurationTests(unittest.TestCase):
    def test_the_committed_page_matches_the_generated_page(self):
        page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
        self.assertEqual(page, configuration_page())

    def test_every_setting_has_a_description(self):
        for _, kind in SECTIONS:
            fields = {field.name for field in kind.__dataclass_fields__.values()}
            self.assertEqual(fields - set(meanings(kind)), set(), kind)
        self.assertNotIn("|  |\n", configuration_page())
