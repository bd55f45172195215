"""Placement of tasks on workers: queues, worker selection, leases and runs."""
