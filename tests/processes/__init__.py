"""Tests of complete processes under faults."""
