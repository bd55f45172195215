"""Listeners for clients that may not behave: HTTP, within limits for all together."""
