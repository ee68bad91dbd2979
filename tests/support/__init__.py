"""Test support: the system's processes and stand-ins in one event loop."""
