"""Tests that the checks accept a good failure history and reject bad ones.

They guard against checks that pass whatever happens, and against false alarms.
"""

import pytest
from attrs import evolve

from experiments.history import (
    Action,
    ConfigAccepted,
    ConfigExemption,
    ConfigSeen,
    ConfigStored,
    History,
    HostStopped,
    Invoked,
    ResponseMissing,
    ResponseReceived,
    TargetLeaving,
    TaskStarted,
)
from experiments.history_checks import PROPERTIES, check
from rattanloom.errors import Ran
from rattanloom.job import ResultKind

OUTPUTS = ("out0", "out1")
FIRST, BOTH = frozenset({"x"}), frozenset({"x", "y"})


def submit(call, at_ms, submission="s1", job_id="t1", **changes):
    invoked = Invoked(at_ms, call, Action.SUBMIT, "a", submission, job_id, "", OUTPUTS)
    return evolve(invoked, **changes)


def complete(call, at_ms, job_id="t1", outputs=OUTPUTS):
    return ResponseReceived(at_ms, call, job_id, ResultKind.COMPLETE, outputs)


def refused(call, at_ms, job_id="t1"):
    return ResponseReceived(at_ms, call, job_id, ResultKind.REFUSED, ran=Ran.NOT_RUN)


def starts(at_ms, submission="s1", worker="w1"):
    return [TaskStarted(at_ms, worker, submission, task) for task in (0, 1)]


GOOD = [
    submit(1, 0),
    *starts(10),
    complete(1, 20),
    submit(2, 30, "s2", "t2", idempotent=False),
    refused(2, 40, "t2"),
    submit(3, 50, "s2", "t2", idempotent=False),
    *starts(60, "s2"),
    complete(3, 70, "t2"),
    submit(4, 80, "s3", "t3"),
    ResponseMissing(90, 4, True),
    TargetLeaving(100, "w1", until_ms=10_000),
    *starts(200, "s3"),
    submit(5, 10_100, "s4", "t4"),
    *starts(10_200, "s4"),
    HostStopped(1_000, 2_000, "a"),
    ConfigAccepted(3_000, 1, "x"),
    ConfigSeen(3_100, "a", 0),
    ConfigSeen(4_000, "a", 1),
    ConfigAccepted(5_000, 2, "y"),
    ConfigExemption(5_000, 60_000, "b"),
    ConfigSeen(50_000, "b", 1),
    ConfigSeen(50_000, "a", 2),
    ConfigSeen(70_000, "b", 2),
    ConfigStored(1, FIRST),
    ConfigStored(2, BOTH),
]

BAD = {
    "a second start": ("every task starts at most once", starts(2_500)),
    "some outputs missing": (
        "an answer is complete or failed",
        [submit(9, 300), complete(9, 310, outputs=OUTPUTS[:1])],
    ),
    "outputs with a failure": (
        "an answer is complete or failed",
        [submit(9, 300), ResponseReceived(310, 9, "t1", ResultKind.FAILED, OUTPUTS)],
    ),
    "another caller's outputs": (
        "each caller gets its own whole answer",
        [submit(9, 300), complete(9, 310, outputs=("out1", "out0"))],
    ),
    "another job's result": (
        "each caller gets its own whole answer",
        [submit(9, 300), complete(9, 310, job_id="t7")],
    ),
    "complete, then failed": (
        "each caller gets its own whole answer",
        [submit(9, 300), ResponseReceived(310, 9, "t1", ResultKind.FAILED)],
    ),
    "not run after a start": (
        "not run means not run",
        [submit(9, 300), refused(9, 310)],
    ),
    "a start after not run": (
        "not run means not run",
        [submit(9, 300, "s9"), refused(9, 310), *starts(320, "s9")],
    ),
    "a start after a cancellation with not run": (
        "not run means not run",
        [
            submit(9, 300, "s9", "t9"),
            evolve(submit(8, 290, "s9", "t9"), action=Action.CANCEL),
            refused(8, 295, "t9"),
            *starts(320, "s9"),
        ],
    ),
    "a second run of a non-idempotent request": (
        "a non-idempotent request runs at most once",
        starts(2_500, "s2"),
    ),
    "complete without a run": (
        "a non-idempotent request runs at most once",
        [submit(9, 300, "s9", "t9"), complete(9, 310, "t9")],
    ),
    "work for a leaving target": (
        "a leaving target gets no new work",
        [submit(9, 300, "s9"), *starts(9_000, "s9")],
    ),
    "a request cut off by a stop": (
        "a planned stop cuts off nothing",
        [submit(9, 900, "s9"), ResponseMissing(1_500, 9, True)],
    ),
    "a version that reverts": (
        "a configuration holds and never reverts",
        [ConfigExemption(0, 90_000, "a"), ConfigSeen(80_000, "a", 1)],
    ),
    "a version late on one host": (
        "a configuration holds and never reverts",
        [ConfigSeen(50_000, "c", 1)],
    ),
    "a change lost in a later version": (
        "a configuration holds and never reverts",
        [ConfigStored(3, frozenset({"y"}))],
    ),
    "an accepted version that is not stored": (
        "a configuration holds and never reverts",
        [ConfigAccepted(80_000, 3, "z")],
    ),
    "one version accepted for two operators": (
        "a configuration holds and never reverts",
        [ConfigAccepted(80_000, 2, "y")],
    ),
}


def test_a_good_history_has_no_violation():
    assert not any(check(History(list(GOOD))).values())


@pytest.mark.parametrize("name", BAD)
def test_a_bad_history_is_rejected(name):
    broken_property, records = BAD[name]
    assert check(History(GOOD + records))[broken_property]


def test_every_property_has_a_bad_history():
    assert {property_name for property_name, _ in BAD.values()} == set(PROPERTIES)
