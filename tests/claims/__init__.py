"""Tests of the claims package."""
