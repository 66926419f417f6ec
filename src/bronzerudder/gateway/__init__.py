"""Accepts callers' requests over HTTP at a gateway and sends them to backend servers."""
