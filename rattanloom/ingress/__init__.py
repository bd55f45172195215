"""Clients' requests: from arrival to answer."""
