"""The callers' side: HTTP interface, Python client and command line."""
