"""Unknown keys are refused at every depth; values must fit their types."""

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
    def test_a_whole_value_is_converted(self):
        leaf = {"size_bytes": 1, "words": {"any": "key"}}
        found = convert({"leaf": leaf, "leaves": [leaf], "spare": None}, Branch)
        self.assertEqual(found.leaves, (Leaf(size_bytes=1, words={"any": "key"}),))

    def test_a_wrong_key_or_value_is_named_by_its_path(self):
        good = {"size_bytes": 1}
        bad_key = {"size_bytes": 1, "size": 2}
        cases = {
            "sise": {"leaf": good, "sise": 1},
            "leaf.size": {"leaf": bad_key},
            "leaves[1].size": {"leaf": good, "leaves": [good, bad_key]},
            "spare.size": {"leaf": good, "spare": bad_key},
            "leaf.size_bytes": {"leaf": {"size_bytes": "x"}},
            "leaves": {"leaf": good, "leaves": {}},
            "(top)": {"leaves": []},
        }
        for path, value in cases.items():
            with self.assertRaises(ConversionError, msg=path) as caught:
                convert(value, Branch)
            self.assertEqual(caught.exception.path, path)
