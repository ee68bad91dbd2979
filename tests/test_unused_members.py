"""Tests that no member, variable or constant of the product is only ever assigned."""

import ast
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / "src" / "waxwinghold"
# Read by Python itself, by asyncio, aiohttp, logbook or libzmq.
READ_ELSEWHERE = {
    "__all__",
    "__slots__",
    "__version__",
    "_max_msg_queue_size",
    "_msg_queue_resume_size",
    "curve_publickey",
    "curve_secretkey",
    "curve_server",
    "curve_serverkey",
    "formatter",
    "handshake_ivl",
    "linger",
    "max_size",
    "maxmsgsize",
    "reconnect_ivl",
    "router_mandatory",
    "sndhwm",
    "zap_domain",
}


def names_in(tree):
    """Return the names that are assigned and those that are read."""
    assigned, read = set(), set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute | ast.Name):
            name = node.attr if isinstance(node, ast.Attribute) else node.id
            (assigned if isinstance(node.ctx, ast.Store) else read).add(name)
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            read.add(node.value)  # ``getattr`` and the fields of documents.
    return assigned, read


class UnusedMembersTests(unittest.TestCase):
    def test_what_is_assigned_is_read_somewhere(self):
        assigned, read = set(), set()
        paths = [*(ROOT / "src").rglob("*.py"), *(ROOT / "tests").rglob("*.py")]
        for path in paths:
            new_assigned, new_read = names_in(ast.parse(path.read_text()))
            read |= new_read
            if path.is_relative_to(PACKAGE):
                assigned |= new_assigned
        self.assertEqual(assigned - read - READ_ELSEWHERE, set())
