"""Load generation, benchmarks and failure histories."""
