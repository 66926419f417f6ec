"""Tests of the soak's checks, and short runs of the soak."""
