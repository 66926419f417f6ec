"""Tests of the package `policy.subset`."""
