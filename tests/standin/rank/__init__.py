"""Tests of standin.rank."""
