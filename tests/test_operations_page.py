"""Tests that every error code of a request is on the operators' page."""

import pathlib
import unittest

from waxwinghold import _errors
from waxwinghold._gateway import errors as gateway_errors
from waxwinghold._gateway import routes as gateway_routes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


class OperationsPageTests(unittest.TestCase):
    def test_every_request_error_is_documented(self):
        kinds = [
            kind
            for module in (_errors, gateway_errors, gateway_routes)
            for kind in vars(module).values()
            if isinstance(kind, type) and issubclass(kind, _errors.RequestError)
        ]
        page = PAGE.read_text()
        missing = {kind.code for kind in kinds if f"`{kind.code}`" not in page}
        self.assertEqual(missing, set())
