"""Tests of the stand-in rank."""
