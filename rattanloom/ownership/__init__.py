"""Decides which daemon is in charge of the workers of a zone."""
