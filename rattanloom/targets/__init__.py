"""The workers that run tasks, and the protocol spoken to them."""
