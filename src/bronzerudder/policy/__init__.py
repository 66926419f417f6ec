"""Decisions under load: where work goes, what is admitted, and how experts are placed."""
