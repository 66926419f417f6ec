"""Gateway: accepts callers' requests over HTTP and sends them to backend servers directly."""
