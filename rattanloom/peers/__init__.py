"""Membership, heartbeats and request forwarding between entry hosts."""
