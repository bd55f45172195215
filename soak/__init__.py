"""A randomized soak test: real processes under faults injected from outside."""
