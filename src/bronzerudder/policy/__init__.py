"""Policies for routing, admission, limits, retries, quarantine and expert placement."""
