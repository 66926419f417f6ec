"""Places the experts of a group of ranks by how often its requests choose each expert.

An agent next to each rank reports to one of the agents, the leader, which experts its rank's
requests chose. The leader plans expert maps and has all ranks switch to a new one at the same step.

Rank agents use this package. For agents, `rank_group` serves the same purpose by another protocol.
"""
