"""Load generators, benchmarks, demonstrations and failure histories.

The clusters and failure histories run the stand-alone version with entry hosts.
"""
