"""The agent role: a process that runs next to each target."""
