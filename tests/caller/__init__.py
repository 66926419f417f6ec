"""Tests of the caller package."""
