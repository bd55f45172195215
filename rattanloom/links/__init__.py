"""Connections between the daemons of one deployment."""
