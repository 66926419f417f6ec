"""Tests of the package `policy.routing`."""
