"""The entry: the role that callers reach over HTTP."""
