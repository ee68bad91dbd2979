"""Policies, in registries that decorators fill, each beside a naive one."""
