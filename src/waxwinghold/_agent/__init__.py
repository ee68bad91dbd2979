"""The agent: the role beside each target."""
