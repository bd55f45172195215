"""Adapter to the platform: clients of its services and its data formats."""
