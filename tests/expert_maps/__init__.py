"""Tests of the expert_maps package."""
