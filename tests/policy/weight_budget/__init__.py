"""Tests of the weight_budget package."""
