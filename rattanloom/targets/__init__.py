"""The workers that run tasks, and the protocol used to reach them."""
