"""The gateway: takes callers' requests and sends them to backend servers itself."""
