"""Messages and gRPC stubs of the streams between entries and agents.

Generated from ``exchange.proto``.
"""
