"""Ownership of zones, in the daemon on the platform.

A daemon is one process; its node is its name. A member is a daemon that is
registered in the store. The owner of a zone is the daemon in charge of the zone's
workers; its placer assigns tasks to them.
"""
