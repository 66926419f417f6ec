"""Tests of the concurrency package."""
