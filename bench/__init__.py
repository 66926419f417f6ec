"""Demonstration and measurements; not part of the shipped package."""
