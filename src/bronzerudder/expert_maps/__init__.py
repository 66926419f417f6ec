"""Keeps the experts of a group of ranks placed by what its requests choose.

An agent beside each rank tells one of the agents, the leader, what its rank's requests chose. The
leader gives the orders by which all ranks change to another map at the same step.
"""
