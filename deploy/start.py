"""Starts a role on the users' platform from the built package."""

import runpy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "target" / "app"))
runpy.run_module("waxwinghold.platform", run_name="__main__")
