"""Tests of the package `policy.server_limits`."""
