"""Tests of whole processes, under failure."""
