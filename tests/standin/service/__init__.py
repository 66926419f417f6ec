"""Tests of the stand-in service."""
