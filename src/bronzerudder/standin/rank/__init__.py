"""A stand-in for the engines of a lock-step group, one process for each rank."""
