"""Client requests, from arrival to response."""
