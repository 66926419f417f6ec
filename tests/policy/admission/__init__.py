"""Tests of the package `policy.admission`."""
