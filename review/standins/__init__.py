"""Small stand-ins for the users' platform, workers and clients, with the standard library only."""
