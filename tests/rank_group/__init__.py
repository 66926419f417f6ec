"""Tests of rank_group."""
