"""Beside each rank of an expert group: its load told on, its expert map kept even."""
