"""Tests of the popularity package."""
