"""Stand-ins for the two platforms' services, used by tests and benchmarks.

For the stand-alone version: the table, object store and host list (``platform``,
``platform_state``) and workers (``worker``, ``worker_attempts``). For the daemons on
the platform: the metadata store (``store``, ``table_rows``) and workers (``pool``,
``run_table``).
"""
