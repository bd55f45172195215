"""A short soak of real processes; ``make soak`` runs longer ones.

Guards against double or lost runs when daemons and workers are killed and the
store loses replies.
"""

from soak.checks import SAFETY_CHECKS
from soak.deployment import DeploymentSize
from soak.play import play

SEED = 1
FAULTS = ("daemon_killed", "worker_crashed", "store_loses_replies", "history_dropped")


def test_safety_checks_pass_while_processes_are_killed():
    size = DeploymentSize(daemons=1, workers=2)
    result = play(SEED, 3.0, FAULTS, checks=SAFETY_CHECKS, size=size, cooldown_s=1.0)
    assert result.breaches == ()
    assert result.complete > 0
