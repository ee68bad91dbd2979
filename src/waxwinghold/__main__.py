"""Runs the ``waxwingd`` command: ``python -m waxwinghold entry FILE``."""

from ._daemon import main

main()
