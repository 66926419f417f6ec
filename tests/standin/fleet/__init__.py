"""Tests of the stand-ins for the users' platform."""
