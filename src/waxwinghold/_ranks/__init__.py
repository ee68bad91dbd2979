"""Agents of the ranks of expert groups: report load and balance expert maps."""
