"""Entry point of ``python -m waxwinghold``, which runs the ``waxwingd`` command."""

from ._daemon import main

main()
