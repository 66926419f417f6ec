"""Puts the parts of each process together and runs it."""
