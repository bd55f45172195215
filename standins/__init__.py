"""Small stand-ins for the systems rattanloom talks to; for tests and benchmarks."""
