"""Tests of the backend_server package."""
