"""Frames between an entry and an agent, generated from ``exchange.proto``."""
