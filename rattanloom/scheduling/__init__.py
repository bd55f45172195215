"""Decisions about waiting work: order, refusal, preemption, worker and zone."""
