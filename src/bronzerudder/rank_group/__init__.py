"""Agreement on the expert map among the agents of a lock-step group.

All ranks must run each step on the same map version. A proposer collects a promise for its term
from every rank, has the new map staged, arms it at a later step, and commits it; any agent can
complete or abort a change that another left unfinished. None of this needs the platform's store.

Agents use this package. For rank agents, `expert_maps` serves the same purpose by another protocol.
"""
