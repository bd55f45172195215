"""The whole path on embedded stand-ins, told step by step; exits 0 if all held."""

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
    Process,
    Shape,
    running_cluster,
    with_settings,
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
    """The running demonstration."""

    cluster: Cluster
    rules: Path

    def host(self, number: int) -> Process:
        """Return one entry host by its place."""
        return list(self.cluster.hosts.values())[number]

    def caller(self, number: int, team: str) -> Dispatcher:
        """Return a caller that speaks to one entry host."""
        return Dispatcher((self.host(number).address,), team)


def run_job(caller: Dispatcher, kind: str, times_ms: list[int]) -> JobResult:
    """Submit one job of tasks of the given true run times."""
    return caller.submit(make_job(caller, kind, times_ms))


def make_job(caller: Dispatcher, kind: str, times_ms: list[int]) -> Job:
    """Return a job of tasks of the given true run times."""
    tasks = tuple(
        Task(kind, json.dumps({"ms": ms, "answer": f"{kind} {number}"}), run_ms=ms)
        for number, ms in enumerate(times_ms)
    )
    return caller.new_job(tasks, DEADLINE_MS)


def show(answer: JobResult) -> None:
    """Print one answer on a line."""
    detail = answer.outputs or answer.failure
    print(f"      {answer.outcome.value}: {detail}")


def publish_first_rules(demo: Demo) -> None:
    """Publish the folder of rules and wait until all hosts are ready."""
    print("1. An operator publishes the folder of rules.")
    print("      " + demo.cluster.publish(demo.rules).strip())
    demo.cluster.await_ready()
    demo.expect("every entry host is healthy", True)


def submit_both_kinds(demo: Demo) -> JobResult:
    """Submit a job of each deployment through different entry hosts."""
    print("2. Callers submit jobs through different entry hosts.")
    proof = run_job(demo.caller(0, "commissions"), "proof_crop", [80, 120, 60])
    show(proof)
    hold = run_job(demo.caller(2, "booking"), "pad_hold", [100, 70])
    show(hold)
    whole = all(a.outcome is ResultKind.COMPLETE for a in (proof, hold))
    demo.expect("both answers are whole", whole)
    again = demo.caller(4, "commissions").ask(proof.job_id)
    demo.expect("another host gives the same answer", again.outputs == proof.outputs)
    return proof


def drop_in_rule(demo: Demo) -> None:
    """Change a rule by dropping in one more file."""
    print("3. One more file refuses a kind; then it is taken out again.")
    (demo.rules / "90-closed.json").write_text(json.dumps(REFUSE_SWATCH))
    print("      " + demo.cluster.publish(demo.rules, "close the desk").strip())
    took_s = demo.cluster.await_version(2)
    demo.expect(f"in force everywhere within 4 s ({took_s:.2f} s)", took_s < 4)
    refused = run_job(demo.caller(1, "commissions"), "colour_swatch", [50])
    show(refused)
    demo.expect("the kind is refused, not run", refused.outcome is ResultKind.REFUSED)
    (demo.rules / "90-closed.json").unlink()
    print("      " + demo.cluster.publish(demo.rules, "open the desk").strip())
    demo.cluster.await_version(3)
    swatch = run_job(demo.caller(1, "commissions"), "colour_swatch", [50])
    show(swatch)
    demo.expect("the kind runs again", swatch.outcome is ResultKind.COMPLETE)


def drain_target(demo: Demo) -> None:
    """Mark one worker as leaving and see that it gets nothing new."""
    leaving = next(iter(demo.cluster.workers.values()))
    print(f"4. {leaving.name} is leaving.")
    demo.cluster.list_targets(leaving=[leaving.name])
    gevent.sleep(3)
    starts_before = count_starts(demo, leaving)
    for number in range(6):
        run_job(demo.caller(number, "kennels"), "proof_crop", [40] * 4)
    starts_after = count_starts(demo, leaving)
    demo.expect("it gets nothing new", starts_before == starts_after)


def count_starts(demo: Demo, worker: Process) -> int:
    """Return how many attempts a worker has started."""
    return len(demo.cluster.get_json(worker.address, "/v1/starts"))


def kill_host(demo: Demo) -> None:
    """Kill an entry host; its tickets never run elsewhere."""
    victim = demo.host(5)
    print(f"5. {victim.name} is killed while a job runs there.")
    job = make_job(demo.caller(5, "clubs"), "field_check", [700])
    running = gevent.spawn(demo.caller(5, "clubs").submit, job)
    gevent.sleep(0.3)
    victim.kill()
    show(running.get())
    again = demo.caller(4, "clubs").submit(job)
    show(again)
    demo.expect("a resubmission is not run twice", again.outcome is ResultKind.UNKNOWN)
    fresh = run_job(demo.caller(4, "clubs"), "field_check", [70])
    demo.expect("a new submission runs", fresh.outcome is ResultKind.COMPLETE)


def stop_host(demo: Demo) -> None:
    """Stop an entry host gracefully while a job is in flight."""
    leaving = demo.host(3)
    print(f"6. {leaving.name} is stopped gracefully with a job in flight.")
    caller = demo.caller(3, "booking")
    running = gevent.spawn(run_job, caller, "pad_hold", [2500])
    gevent.sleep(0.3)
    leaving.terminate()
    answer = running.get()
    show(answer)
    demo.expect("the job in flight is whole", answer.outcome is ResultKind.COMPLETE)
    demo.expect("it exits with 0", leaving.wait(STOP_WITHIN_S) == 0)


def show_time_line(demo: Demo, answer: JobResult) -> None:
    """Print one job's events from all processes, in one order."""
    print("7. The time line of the first job.")
    text = demo.cluster.operator("timeline", "--job", answer.job_id)
    print(text.rstrip())
    demo.expect("it tells of the job's answer", "job_answered" in text)


def main() -> int:
    """Run the demonstration and return its exit status."""
    shape = with_settings(Shape(), log_level="INFO", leave_grace_ms=500)
    with running_cluster(shape) as cluster:
        rules = cluster.folder / "rules"
        shutil.copytree(RULES, rules, ignore=shutil.ignore_patterns(".*"))
        demo = Demo(cluster, rules)
        publish_first_rules(demo)
        answer = submit_both_kinds(demo)
        drop_in_rule(demo)
        drain_target(demo)
        kill_host(demo)
        stop_host(demo)
        show_time_line(demo, answer)
    return demo.exit_status()


if __name__ == "__main__":
    sys.exit(main())
