"""Run a role from the built package in ``target/app`` on the users' platform."""

import runpy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "target" / "app"))
runpy.run_module("waxwinghold.platform", run_name="__main__")
