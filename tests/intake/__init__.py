"""Tests of what a process holds for its callers."""
