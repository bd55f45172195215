"""Links, the TCP connections between the daemons on the platform."""
