"""Adapter to the users' platform: its names, formats and calls.

It only translates; all decisions are made by the packages that use it. The platform
calls a target a worker, a customer a tenant and a data centre a zone.
"""
