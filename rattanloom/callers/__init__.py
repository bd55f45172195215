"""HTTP interface, Python client and command line for callers (stand-alone version)."""
