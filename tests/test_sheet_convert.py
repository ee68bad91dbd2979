"""Tests that unknown keys are rejected at every depth and types are checked."""

import unittest
from dataclasses import dataclass

from waxwinghold._convert import ConversionError, convert


@dataclass(frozen=True, kw_only=True)
class Leaf:
    size_bytes: int
    words: dict[str, str] | None = None


@dataclass(frozen=True, kw_only=True)
class Branch:
    leaf: Leaf
    leaves: tuple[Leaf, ...] = ()
    spare: Leaf | None = None


class ConvertTests(unittest.TestCase):
    def test_a_nested_value_is_converted(self):
        leaf = {"size_bytes": 1, "words": {"any": "key"}}
        branch = convert({"leaf": leaf, "leaves": [leaf], "spare": None}, Branch)
        self.assertEqual(branch.leaves, (Leaf(size_bytes=1, words={"any": "key"}),))

    def test_the_error_has_the_path_of_the_wrong_key_or_value(self):
        valid = {"size_bytes": 1}
        bad_key = {"size_bytes": 1, "size": 2}
        cases = {
            "sise": {"leaf": valid, "sise": 1},
            "leaf.size": {"leaf": bad_key},
            "leaves[1].size": {"leaf": valid, "leaves": [valid, bad_key]},
            "spare.size": {"leaf": valid, "spare": bad_key},
            "leaf.size_bytes": {"leaf": {"size_bytes": "x"}},
            "leaves": {"leaf": valid, "leaves": {}},
            "(top)": {"leaves": []},
        }
        for path, value in cases.items():
            with self.assertRaises(ConversionError, msg=path) as caught:
                convert(value, Branch)
            self.assertEqual(caught.exception.path, path)
