"""Load generators, benchmarks, demonstrations and failure histories."""
