"""Decisions about waiting, rejecting, retrying and placing.

Each module holds pure functions or small state machines: they get the time and typed
inputs as arguments, and neither send, nor wait, nor know any platform. Gateways and
entries call them. Policies register under a name, beside a naive one for comparison.

This module imports nothing, so that each process loads only what it uses.
"""
