"""Operators' command line, and the operators' pages of entry hosts.

Part of the stand-alone version, except ``trace``, which reads logs of daemons.
"""
