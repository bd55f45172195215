"""Publishing: accepted changes are never lost or reverted, refused ones never apply."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rattanloom.configuration_document import HEAD_KEY, parse_head, version_key
from rattanloom.configuration_publish import Published, Publisher, Unchanged
from rattanloom.errors import ErrorKind, Failure
from rattanloom.operators.edits import drain_edit, folder_edit, undrain_edit
from tests.config_fakes import FakePlatform, Fault, make_environment

FOLDER = {"teams": {"clubs": {"weight": 2}}}


def publisher(platform, operator="ama"):
    environment = make_environment(platform.clock)
    return Publisher(operator, environment, platform, platform, retry_base_ms=0)


def publish(platform, sections, base, operator="ama", message="why"):
    client = publisher(platform, operator)
    return client.publish(folder_edit(sections, base, client), message)


def records(platform):
    head = parse_head(platform.table.rows[HEAD_KEY].value).record
    keys = [version_key(number) for number in range(1, head.version + 1)]
    return [parse_head(row.value).record for row in platform.table.read(keys)]


def test_lost_reply_after_effect_is_resolved_as_accepted_once():
    platform = FakePlatform()
    platform.faults = [Fault.NONE, Fault.LOST_AFTER_EFFECT, Fault.LOST_AFTER_EFFECT]
    outcome = publish(platform, FOLDER, 0)
    assert isinstance(outcome, Published)
    assert records(platform) == [outcome.record]


def test_lost_reply_is_resolved_after_another_operator_moves_the_head():
    platform = FakePlatform()
    client = publisher(platform)
    faults = [Fault.NONE, Fault.NONE, Fault.LOST_AFTER_EFFECT]

    class HeadMovingPlatform(FakePlatform):
        def transact(self, changes):
            outcome = platform.transact(changes)
            if isinstance(outcome, Failure):
                client.publish(drain_edit("w1"), "drain")
            return outcome

    platform.faults = list(faults)
    first = publisher(platform, "esi")
    first.table = HeadMovingPlatform()
    first.table.read = platform.read
    outcome = first.publish(folder_edit(FOLDER, 0, first), "why")
    assert isinstance(outcome, Published)
    assert outcome.record.version == 1
    assert [record.version for record in records(platform)] == [1, 2]


def test_conflict_names_the_other_operator_and_its_change():
    platform = FakePlatform()
    other = {"teams": {"kennels": {}}}
    platform.before_transact = lambda: publish(platform, other, 0, "esi", "more")
    outcome = publish(platform, FOLDER, 0)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.CONFLICT
    assert "version 1 by esi" in outcome.reason
    assert "more" in outcome.reason
    assert "--base 1" in outcome.reason
    assert [record.operator for record in records(platform)] == ["esi"]


def test_publishing_a_folder_keeps_drains():
    platform = FakePlatform()
    publish(platform, FOLDER, 0)
    client = publisher(platform, "esi")
    assert isinstance(client.publish(drain_edit("w1"), "drain"), Published)
    platform.before_transact = lambda: client.publish(drain_edit("w2"), "drain")
    assert isinstance(publish(platform, {}, 1), Published)
    rules = client.read_head().document.rules
    assert rules.teams == {}
    assert all(rules.targets[name].drain for name in ("w1", "w2"))
    assert isinstance(client.publish(undrain_edit("w1"), "undrain"), Published)
    assert list(client.read_head().document.rules.targets) == ["w2"]


def test_undrain_overrides_a_drain_in_the_folder():
    platform = FakePlatform()
    publish(platform, {"targets": {"w1": {"drain": True}}}, 0)
    client = publisher(platform)
    client.publish(undrain_edit("w1"), "undrain")
    assert not client.read_head().document.rules.targets["w1"].drain


def test_publishing_again_after_an_unknown_outcome_changes_nothing():
    platform = FakePlatform()
    platform.faults = [Fault.NONE, Fault.NONE, Fault.LOST_AFTER_EFFECT]
    platform.faults += [Fault.REFUSED] * 20
    uncertain = publish(platform, FOLDER, 0)
    assert uncertain.kind is ErrorKind.REPLY_LOST
    platform.faults.clear()
    assert publish(platform, FOLDER, 0) == Unchanged(1)


@pytest.mark.parametrize("corrupt", [lambda _: b"spoilt", None])
def test_missing_or_corrupt_object_is_replaced_by_the_copy_of_a_host(corrupt):
    platform = FakePlatform()
    publish(platform, FOLDER, 0)
    (name, content), *_ = platform.objects.items()
    del platform.objects[name]
    if corrupt:
        platform.objects[name] = corrupt(content)
    client = publisher(platform)
    failure = client.publish(drain_edit("w1"), "drain")
    assert failure.kind is ErrorKind.INTERNAL
    assert "no entry host returned a copy either" in failure.reason
    assert len(records(platform)) == 1
    client.fetch_copies = lambda: ["no document", content.decode()]
    assert isinstance(client.publish(drain_edit("w1"), "drain"), Published)
    assert client.read_head().document.folder == FOLDER


class RacingOperators(RuleBasedStateMachine):
    """Operators publish to a platform that loses, delays and refuses calls."""

    fault_lists = st.lists(st.sampled_from(Fault), max_size=8)

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.bases = {"ama": 0, "esi": 0}
        self.accepted = {}
        self.refused = set()
        self.count = 0

    @rule(
        operator=st.sampled_from(["ama", "esi"]),
        faults=fault_lists,
        overtaken_by=st.sampled_from([None, "folder", "drain", "late"]),
        caught_up=st.booleans(),
    )
    def publish_folder(self, operator, faults, overtaken_by, caught_up):
        if caught_up:
            self.bases[operator] = self.head_version()
        if overtaken_by == "folder":
            self.platform.before_transact = lambda: self._publish_folder("kofi")
        if overtaken_by == "drain":
            self.platform.before_transact = lambda: self._drain("w9", True)
        if overtaken_by == "late":
            self.platform.before_transact = self.platform.deliver_late_writes
        self.platform.faults = faults
        self._publish_folder(operator)
        self._settle()

    @rule(name=st.sampled_from(["w1", "w2"]), drain=st.booleans(), faults=fault_lists)
    def drain(self, name, drain, faults):
        self.platform.faults = faults
        self._drain(name, drain)
        self._settle()

    @rule()
    def late_writes_arrive(self):
        self.platform.deliver_late_writes()

    @invariant()
    def accepted_changes_stay_and_refused_ones_never_apply(self):
        if HEAD_KEY not in self.platform.table.rows:
            assert not self.accepted
            return
        history = records(self.platform)
        assert [r.version for r in history] == list(range(1, len(history) + 1))
        messages = [record.message for record in history]
        assert len(set(messages)) == len(messages)
        assert not self.refused & set(messages)
        for message, version in self.accepted.items():
            assert history[version - 1].message == message
        document = publisher(self.platform).read_head().document
        folders = [m for m in messages if m.startswith("folder")]
        assert document.folder == (_sections(folders[-1]) if folders else {})
        drained = {}
        for message in messages:
            command, *_, target = message.split()
            if command != "folder":
                drained[target] = command == "drain"
        expected = {target for target, drain in drained.items() if drain}
        assert set(document.rules.targets) == expected

    def head_version(self):
        return publisher(self.platform).read_head().version

    def _publish_folder(self, operator):
        self.count += 1
        message = f"folder number{self.count}"
        base = self.bases.get(operator, None)
        if base is None:
            base = self.head_version()
        outcome = publish(self.platform, _sections(message), base, operator, message)
        self._record_outcome(message, outcome)
        if isinstance(outcome, Published):
            between = records(self.platform)[base : outcome.record.version - 1]
            assert not [r for r in between if r.message.startswith("folder")]
            self.bases[operator] = outcome.record.version

    def _drain(self, target, drain):
        self.count += 1
        edit = drain_edit(target) if drain else undrain_edit(target)
        message = f"{'drain' if drain else 'undrain'} {self.count} {target}"
        self._record_outcome(message, publisher(self.platform).publish(edit, message))

    def _record_outcome(self, message, outcome):
        if isinstance(outcome, Published):
            self.accepted[message] = outcome.record.version
        elif isinstance(outcome, Unchanged):
            self.refused.add(message)
        elif outcome.kind is not ErrorKind.REPLY_LOST:
            assert outcome.kind in (ErrorKind.CONFLICT, ErrorKind.PLATFORM_UNREACHABLE)
            self.refused.add(message)

    def _settle(self):
        self.platform.faults = []
        self.platform.before_transact = None


def _sections(message):
    return {"kinds": {message.split()[-1]: {}}}


TestRacingOperators = RacingOperators.TestCase
TestRacingOperators.settings = settings(max_examples=60, stateful_step_count=12)
