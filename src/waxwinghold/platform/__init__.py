"""Adapter to the users' platform: its names, formats and calls.

It only translates; all decisions are made by the packages that use it.
"""
