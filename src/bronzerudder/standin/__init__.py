"""Stand-ins for the platform and the backend servers, for tests, the demo and the benchmarks."""
