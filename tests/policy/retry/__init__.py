"""Tests of the package `policy.retry`."""
