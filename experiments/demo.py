"""Demonstrates the stand-alone version on stand-ins of platform and workers.

Exits 0 if all checks passed.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from attrs import define  # noqa: E402

from experiments.cluster import (  # noqa: E402
    Cluster,
    ClusterLayout,
    Process,
    running_cluster,
    with_host_settings,
)
from experiments.findings import Findings  # noqa: E402
from rattanloom.callers.client import Dispatcher  # noqa: E402
from rattanloom.job import Job, JobResult, ResultKind, Task  # noqa: E402

RULES = Path(__file__).parent.parent / "examples" / "rules"
DEADLINE_MS = 5_000
STOP_WITHIN_S = 20
REFUSE_SWATCH = {"kinds": {"colour_swatch": {"refuse": "the colour desk is closed"}}}


@define(eq=False)
class Demo(Findings):
    """The running cluster, its folder of rules and the check results."""

    cluster: Cluster
    rules: Path

    def host(self, number: int) -> Process:
        """Return an entry host by its index."""
        return list(self.cluster.hosts.values())[number]

    def caller(self, number: int, team: str) -> Dispatcher:
        """Return a client of one team that sends to a single entry host."""
        return Dispatcher((self.host(number).address,), team)


def run_job(caller: Dispatcher, kind: str, run_times_ms: list[int]) -> JobResult:
    """Submit one job with a task for each run time, and return its result."""
    return caller.submit(make_job(caller, kind, run_times_ms))


def make_job(caller: Dispatcher, kind: str, run_times_ms: list[int]) -> Job:
    """Return a job with a task for each run time, without submitting it."""
    tasks = tuple(
        Task(kind, json.dumps({"ms": ms, "answer": f"{kind} {number}"}), run_ms=ms)
        for number, ms in enumerate(run_times_ms)
    )
    return caller.new_job(tasks, DEADLINE_MS)


def print_result(result: JobResult) -> None:
    """Print a job's result on one line."""
    detail = result.outputs or result.failure
    print(f"      {result.outcome.value}: {detail}")


def publish_first_rules(demo: Demo) -> None:
    """Publish the folder of rules and wait until all hosts are ready."""
    print("1. An operator publishes the folder of rules.")
    print("      " + demo.cluster.publish(demo.rules).strip())
    demo.cluster.await_ready()
    demo.expect("every entry host is healthy", True)


def submit_both_kinds(demo: Demo) -> JobResult:
    """Submit jobs of two teams through different entry hosts."""
    print("2. Callers submit jobs through different entry hosts.")
    proof = run_job(demo.caller(0, "commissions"), "proof_crop", [80, 120, 60])
    print_result(proof)
    hold = run_job(demo.caller(2, "booking"), "pad_hold", [100, 70])
    print_result(hold)
    are_complete = all(r.outcome is ResultKind.COMPLETE for r in (proof, hold))
    demo.expect("both jobs are complete", are_complete)
    again = demo.caller(4, "commissions").ask(proof.job_id)
    demo.expect("another host returns the same result", again.outputs == proof.outputs)
    return proof


def add_and_remove_rule(demo: Demo) -> None:
    """Publish a rule that refuses a kind of task, then remove the rule."""
    print("3. One more file refuses a kind of task; then it is removed.")
    (demo.rules / "90-closed.json").write_text(json.dumps(REFUSE_SWATCH))
    print("      " + demo.cluster.publish(demo.rules, "close the desk").strip())
    took_s = demo.cluster.await_version(2)
    demo.expect(f"active on all hosts within 4 s ({took_s:.2f} s)", took_s < 4)
    refused = run_job(demo.caller(1, "commissions"), "colour_swatch", [50])
    print_result(refused)
    demo.expect("the kind is refused, not run", refused.outcome is ResultKind.REFUSED)
    (demo.rules / "90-closed.json").unlink()
    print("      " + demo.cluster.publish(demo.rules, "open the desk").strip())
    demo.cluster.await_version(3)
    swatch = run_job(demo.caller(1, "commissions"), "colour_swatch", [50])
    print_result(swatch)
    demo.expect("the kind runs again", swatch.outcome is ResultKind.COMPLETE)


def drain_target(demo: Demo) -> None:
    """Mark one worker as leaving and check that it gets no new tasks."""
    leaving = next(iter(demo.cluster.workers.values()))
    print(f"4. {leaving.name} is leaving.")
    demo.cluster.set_target_list(leaving=[leaving.name])
    gevent.sleep(3)
    starts_before = count_starts(demo, leaving)
    for number in range(6):
        run_job(demo.caller(number, "kennels"), "proof_crop", [40] * 4)
    starts_after = count_starts(demo, leaving)
    demo.expect("it gets no new tasks", starts_before == starts_after)


def count_starts(demo: Demo, worker: Process) -> int:
    """Return the number of attempts that a worker has started."""
    return len(demo.cluster.get_json(worker.address, "/v1/starts"))


def kill_host(demo: Demo) -> None:
    """Kill an entry host; check that its job never runs on another host."""
    victim = demo.host(5)
    print(f"5. {victim.name} is killed while a job runs there.")
    job = make_job(demo.caller(5, "clubs"), "field_check", [700])
    running = gevent.spawn(demo.caller(5, "clubs").submit, job)
    gevent.sleep(0.3)
    victim.kill()
    print_result(running.get())
    again = demo.caller(4, "clubs").submit(job)
    print_result(again)
    demo.expect("a resubmission is not run twice", again.outcome is ResultKind.UNKNOWN)
    fresh = run_job(demo.caller(4, "clubs"), "field_check", [70])
    demo.expect("a new submission runs", fresh.outcome is ResultKind.COMPLETE)


def stop_host(demo: Demo) -> None:
    """Stop an entry host gracefully while a job is running."""
    leaving = demo.host(3)
    print(f"6. {leaving.name} is stopped gracefully while a job is running.")
    caller = demo.caller(3, "booking")
    running = gevent.spawn(run_job, caller, "pad_hold", [2500])
    gevent.sleep(0.3)
    leaving.terminate()
    result = running.get()
    print_result(result)
    demo.expect("the running job is complete", result.outcome is ResultKind.COMPLETE)
    demo.expect("it exits with 0", leaving.wait(STOP_WITHIN_S) == 0)


def print_time_line(demo: Demo, result: JobResult) -> None:
    """Print one job's events from all processes, in order of time."""
    print("7. The time line of the first job.")
    text = demo.cluster.run_operator_command("timeline", "--job", result.job_id)
    print(text.rstrip())
    demo.expect("it includes the job's result", "job_answered" in text)


def main() -> int:
    """Run the demonstration and return its exit status."""
    layout = with_host_settings(ClusterLayout(), log_level="INFO", leave_grace_ms=500)
    with running_cluster(layout) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules, ignore=shutil.ignore_patterns(".*"))
        demo = Demo(cluster, rules)
        publish_first_rules(demo)
        result = submit_both_kinds(demo)
        add_and_remove_rule(demo)
        drain_target(demo)
        kill_host(demo)
        stop_host(demo)
        print_time_line(demo, result)
    return demo.exit_status()


if __name__ == "__main__":
    sys.exit(main())
