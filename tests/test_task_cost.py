"""The parts of a daemon by which ``experiments.task_cost`` splits processor time."""

import pytest

from experiments.stack_sampler import NO_PART, part_of_stack

STACKS = [
    (("gevent/_socket3.py", "/x/rattanloom/platform/http.py"), "http"),
    (("gevent/_socket3.py", "/x/rattanloom/links/link.py"), "links"),
    (("/lib/json/encoder.py", "/x/rattanloom/placement/runs.py"), "codec"),
    (("/lib/json/encoder.py", "/x/rattanloom/decision_log.py"), "logs"),
    (("/x/rattanloom/scheduling/cost.py", "/x/rattanloom/daemon.py"), "scheduling"),
    (("/deps/gevent/hub.py",), NO_PART),
]


@pytest.mark.parametrize(("paths", "part"), STACKS)
def test_innermost_known_file_decides_the_part_except_for_logs(paths, part):
    assert part_of_stack(list(paths)) == part
