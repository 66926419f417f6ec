"""Operators as a peer: edits of the tables, their decisions, and who has them in force."""
