"""Tests of the tables package."""
