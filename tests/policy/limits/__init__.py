"""Tests of the package `policy.limits`."""
