"""HTTP interface, Python client and command line for callers."""
