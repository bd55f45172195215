"""Placement of tasks on workers, in the daemon on the platform.

A job has steps, and a step has a number of equal tasks. A run is one execution of a
task on a worker; the attempt is its number among the runs of the task. The placer,
one in each daemon, assigns the tasks of jobs to the workers of the zones that the
daemon owns, under a lease (``worker_lease``) and a fencing token
(``rattanloom.ownership.records``).
"""
