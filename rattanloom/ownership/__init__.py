"""Which daemon gives orders to the workers of a zone."""
