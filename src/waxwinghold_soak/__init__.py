"""Fault soak: real processes run under injected faults while guarantees are checked."""
