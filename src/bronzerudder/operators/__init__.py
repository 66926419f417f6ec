"""Edits rows for operators and shows decisions, instances and a request's log lines."""
