"""A fleet of real processes' objects and stand-ins in one event loop, for tests."""
