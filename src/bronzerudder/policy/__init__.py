"""Decisions under load, called inline by the entry and the agent.

Every decision takes the time as an argument, in monotonic seconds, and draws from a seeded
generator that its owner passes in, so that a run can be repeated exactly.
"""
