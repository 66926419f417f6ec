"""Agents of one lock-step group among themselves: they agree on its expert map."""
