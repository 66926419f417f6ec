"""Tests of the placement package."""
