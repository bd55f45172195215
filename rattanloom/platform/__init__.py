"""Clients of the platform's services, and its data formats.

The stand-alone version uses ``client.py``, ``messages.py`` and ``protocol.py``; the
daemon on the platform uses the other modules.
"""
