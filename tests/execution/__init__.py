"""Tests of the execution package."""
