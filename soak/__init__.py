"""A randomized soak test of the daemon on the platform.

Real daemons serve jobs on stand-ins of the store and the workers, under faults that
are injected from outside.
"""
