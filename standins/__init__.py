"""Stand-ins for the store, host list and workers, used by tests and benchmarks."""
