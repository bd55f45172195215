"""Targets: the workers that run the tasks of the stand-alone version.

"Target" in names and "worker" in texts mean the same here.
"""
