"""Tests of bounds on how many requests run at once."""
