"""Operators' commands, run in-process against the stand-alone platform stand-in.

Guards against lost edits of concurrent operators, false reports of success or
failure in an outage, and wrong event order when clocks differ.
"""

import json
from contextlib import contextmanager
from io import StringIO

import pytest
from bottle import Bottle, request
from gevent.pywsgi import WSGIServer

from rattanloom.environment import Environment
from rattanloom.operators.commands import OperatorCommands
from rattanloom.platform.client import PlatformClient
from rattanloom.status import ExitStatus
from standins.platform import serving
from standins.platform_state import PlatformState, PlatformSwitches
from tests.utils import FakeClock

NOW_MS = 1_000_000.0
RULES = {"kinds": {"crop": {"retries_max": 3}}}


class OperatorCli:
    """Runs commands with an operator's folder and settings, and captures the output."""

    def __init__(
        self,
        folder,
        operator,
        platform_address,
        entry_addresses=None,
        publish_within_ms=60_000,
    ):
        self.folder = folder / operator
        self.folder.mkdir()
        self.settings = str(folder / f"{operator}.json")
        document = {
            "operator": operator,
            "platform_address": platform_address,
            "entry_addresses": entry_addresses or {},
            "timeout_ms": 300,
            "publish_within_ms": publish_within_ms,
        }
        (folder / f"{operator}.json").write_text(json.dumps(document))

    def write(self, name, content):
        (self.folder / name).write_text(json.dumps(content))

    def run(self, command, *arguments, **options):
        environment = Environment(FakeClock(NOW_MS), stdout=StringIO())
        environment.stderr = environment.stdout
        commands = OperatorCommands(environment)
        getattr(commands, command)(*arguments, settings=self.settings, **options)
        return commands.exit_status, environment.stdout.getvalue()

    def publish(self, message="why", **options):
        return self.run("publish", str(self.folder), message, **options)


@contextmanager
def platform():
    state = PlatformState()
    with serving(state, "127.0.0.1:0") as server:
        yield state, f"127.0.0.1:{server.server_port}"


@contextmanager
def entry_host(process, ahead_ms, events=(), **status):
    app = Bottle()
    app.get("/v1/timeline")(
        lambda: {
            "process": process,
            "wall_ms": NOW_MS + ahead_ms,
            "events": [
                event
                for event in events
                if request.query.get("job") in ("", event["job_id"])
            ],
        }
    )
    app.post("/v1/config/look")(lambda: status["hints"].append(process) or {})
    app.get("/v1/status")(lambda: {"wall_ms": NOW_MS + ahead_ms, **status})
    server = WSGIServer("127.0.0.1:0", app, log=None)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


def event(process, sequence, wall_ms, job_id="j1", task=None):
    return {
        "wall_ms": wall_ms,
        "sequence": sequence,
        "process": process,
        "kind": "job_received",
        "job_id": job_id,
        "task": task,
        "attempt": None,
        "target": "",
        "detail": "",
    }


def test_publish_again_after_adding_a_file(tmp_path):
    with platform() as (_, address):
        cli = OperatorCli(tmp_path, "ama", address)
        cli.write("10.json", RULES)
        assert cli.publish() == (ExitStatus.OK, "accepted: version 1\n")
        cli.write("20.json", {"kinds": {"crop": {"refuse": "closed"}}})
        _, text = cli.run("diff", str(cli.folder))
        assert '+ kinds.crop.refuse = "closed"' in text
        assert "retries_max" not in text
        assert cli.publish("close")[1] == "accepted: version 2\n"
        _, text = cli.run("versions")
        assert text.index("version 2 by ama") < text.index("version 1 by ama")
        assert "close" in text


def test_conflict_is_reported_and_resolved_with_a_newer_base(tmp_path):
    with platform() as (_, address):
        ama, esi = (
            OperatorCli(tmp_path, "ama", address),
            OperatorCli(tmp_path, "esi", address),
        )
        ama.write("10.json", RULES)
        ama.publish("by ama first")
        esi.write("10.json", {"teams": {"clubs": {}}})
        status, text = esi.publish()
        assert status is ExitStatus.CONFLICT
        assert "by ama first" in text
        esi.write("20.json", RULES)
        assert esi.publish(base=1) == (ExitStatus.OK, "accepted: version 2\n")


def test_drain_is_kept_by_a_publish_and_ended_by_undrain(tmp_path):
    with platform() as (_, address):
        ama, esi = (
            OperatorCli(tmp_path, "ama", address),
            OperatorCli(tmp_path, "esi", address),
        )
        ama.write("10.json", RULES)
        ama.publish()
        esi.run("drain", "w1")
        ama.write("20.json", {"teams": {"clubs": {}}})
        assert ama.publish()[1] == "accepted: version 3\n"
        assert "targets.w1.drain = true" in ama.run("diff", str(ama.folder))[1]
        assert esi.run("undrain", "w1")[0] is ExitStatus.OK
        assert esi.run("undrain", "w1")[1].startswith("nothing to change")


@pytest.mark.parametrize(
    "switches", [PlatformSwitches(down=True), PlatformSwitches(stall=True)]
)
def test_publish_during_an_outage_is_definitely_not_accepted(tmp_path, switches):
    with platform() as (state, address):
        cli = OperatorCli(tmp_path, "ama", address, publish_within_ms=0)
        state.switches = switches
        status, text = cli.publish()
        assert status is ExitStatus.UNREACHABLE
        assert "platform_unreachable" in text
        assert not state.table.rows


def test_publish_succeeds_although_a_reply_is_lost(tmp_path, monkeypatch):
    with platform() as (state, address):
        cli = OperatorCli(tmp_path, "ama", address)
        cli.write("10.json", RULES)
        transact = PlatformClient.transact

        def lose_first_reply(client, changes):
            state.switches = PlatformSwitches(lose_replies=not state.table.rows)
            return transact(client, changes)

        monkeypatch.setattr(PlatformClient, "transact", lose_first_reply)
        assert cli.publish() == (ExitStatus.OK, "accepted: version 1\n")
        assert state.counts.writes == 3


def test_bad_folder_and_bad_settings_are_refused_before_anything_is_sent(tmp_path):
    with platform() as (state, address):
        cli = OperatorCli(tmp_path, "ama", address)
        cli.write("10.json", {"kinds": {"crop": {"retries_max": -1}}})
        status, text = cli.publish()
        assert status is ExitStatus.SETTINGS
        assert "10.json: kinds.crop.retries_max" in text
        (tmp_path / "ama.json").write_text('{"operator": "ama"}')
        status, text = cli.run("versions")
        assert status is ExitStatus.SETTINGS
        assert "platform_address" in text
        assert state.counts.writes == state.counts.reads == 0


def test_timeline_is_ordered_although_clocks_differ(tmp_path):
    fast = [event("fast", 1, NOW_MS + 5_010), event("fast", 2, NOW_MS + 5_030, "j2")]
    slow = [event("slow", 7, NOW_MS - 7_000 + 20, task=0), event("slow", 8, 0.0)]
    with (
        entry_host("fast", 5_000, fast) as fast_address,
        entry_host("slow", -7_000, slow) as slow_address,
    ):
        addresses = {"fast": fast_address, "slow": slow_address, "gone": "127.0.0.1:1"}
        cli = OperatorCli(tmp_path, "ama", "127.0.0.1:1", addresses)
        status, text = cli.run("timeline", json=True)
        lines = [json.loads(line) for line in text.splitlines() if line[0] == "{"]
        assert [line["sequence"] for line in lines] == [1, 7, 8, 2]
        assert lines[0]["at_wall_ms"] == NOW_MS + 10
        assert status is ExitStatus.OK
        assert "no response from gone" in text
        _, text = cli.run("timeline", job="j1", task=0)
        assert [line.split()[1] for line in text.splitlines()[:-1]] == ["slow"]


def test_status_lists_unreachable_hosts_too(tmp_path):
    members = [{"state": "live"}, {"state": "live"}, {"state": "cut_off"}]
    page = {
        "zone": "Adum",
        "health": "ok",
        "config_version": 12,
        "members": members,
        "capacity": {"free_slots": 3, "share_slots": 4, "total_slots": 8},
        "config": {"ground": "from the platform", "problem": "object is corrupt"},
    }
    with entry_host("a", 250, **page) as address:
        addresses = {"a": address, "b": "127.0.0.1:1"}
        cli = OperatorCli(tmp_path, "ama", "127.0.0.1:1", addresses)
        status, text = cli.run("status")
    assert status is ExitStatus.OK
    for word in ("ok", "12", "1 cut_off, 2 live", "3 free of 8", "+250 ms"):
        assert word in text
    assert "problem: object is corrupt" in text
    assert "unreachable" in text
    assert cli.run("status")[0] is ExitStatus.UNREACHABLE


def test_publish_notifies_hosts_and_reports_where_the_version_is_active(tmp_path):
    hints = []
    with (
        platform() as (_, address),
        entry_host("a", 0, config_version=1, hints=hints) as fresh,
        entry_host("b", 0, config_version=0, hints=hints) as stale,
    ):
        cli = OperatorCli(tmp_path, "ama", address, {"a": fresh})
        status, text = cli.publish(wait_ms=1)
        assert (status, hints) == (ExitStatus.OK, ["a"])
        assert "active on 1 of 1" in text
        hosts = {"a": fresh, "b": stale, "gone": "127.0.0.1:1"}
        cli = OperatorCli(tmp_path, "esi", address, hosts)
        cli.write("10.json", RULES)
        status, text = cli.publish(base=1, wait_ms=-1)
        assert status is ExitStatus.ERROR
        assert "active on 0 of 3" in text
        assert sorted(hints) == ["a", "a", "b"]
