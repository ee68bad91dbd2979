"""The gateway: callers' HTTP on one side, targets reached directly on the other."""
