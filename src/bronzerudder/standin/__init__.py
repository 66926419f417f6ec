"""Small stand-ins for the system's peers, for tests, demonstrations and measurements."""
