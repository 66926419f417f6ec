"""Builds the components of each kind of process and runs it."""
