"""Commands of the operators' command line.

All commands are for the stand-alone version, except ``story``, which reads the logs
of daemons on the platform.
"""

from collections.abc import Callable
from functools import partial, wraps
from json import dumps

from attrs import define, frozen

from rattanloom.configuration_folder import load_folder
from rattanloom.configuration_publish import (
    Edit,
    Publisher,
    Unchanged,
)
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.operators.activation import notify_hosts, wait_until_active
from rattanloom.operators.difference import difference_lines
from rattanloom.operators.edits import (
    describe_record,
    drain_edit,
    folder_edit,
    undrain_edit,
)
from rattanloom.operators.folder_base import read_base, write_base
from rattanloom.operators.host_table import status_lines
from rattanloom.operators.hosts import HostPage, fetch_documents, fetch_pages
from rattanloom.operators.merged_timeline import event_json, event_line, merge_events
from rattanloom.operators.settings import OperatorSettings
from rattanloom.operators.trace import TraceError, read_lines, trace_lines
from rattanloom.platform.client import PlatformClient
from rattanloom.settings import SettingsError, load_settings
from rattanloom.status import ExitStatus

SETTINGS = "operator.json"
VERSIONS_SHOWN = 20
EXIT_STATUS_BY_ERROR_KIND = {
    ErrorKind.CONFLICT: ExitStatus.CONFLICT,
    ErrorKind.PLATFORM_UNREACHABLE: ExitStatus.UNREACHABLE,
    ErrorKind.REPLY_LOST: ExitStatus.MAY_HAVE_RUN,
}


@frozen
class Session:
    """An operator's settings and the publisher created from them."""

    settings: OperatorSettings
    publisher: Publisher


class CommandError(Exception):
    """Aborts a command; ``report_failures`` prints the failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def report_failures(command: Callable) -> Callable:
    """Decorate a command to print its failure and set the exit status."""

    @wraps(command)
    def run(self: "OperatorCommands", *arguments: object, **options: object) -> None:
        try:
            self.exit_status = command(self, *arguments, **options) or ExitStatus.OK
        except SettingsError as error:
            self.print_failure(str(error), ExitStatus.SETTINGS)
        except CommandError as error:
            status = EXIT_STATUS_BY_ERROR_KIND.get(error.failure.kind, ExitStatus.ERROR)
            self.print_failure(
                f"{error.failure.kind.value}: {error.failure.reason}", status
            )

    return run


@define
class OperatorCommands:
    """Runs commands; ``exit_status`` is the exit status of the last command."""

    environment: Environment
    exit_status: ExitStatus = ExitStatus.OK

    @report_failures
    def check(self, folder: str, settings: str = SETTINGS) -> None:
        """Validate a configuration folder without contacting the platform.

        Args:
            folder: the folder of JSON files.
            settings: not read; accepted because most commands have it.
        """
        _, rules = load_folder(str(folder))
        self.print_line(
            f"{folder} is valid: {len(rules.kinds)} kinds, {len(rules.teams)} teams, "
            f"{len(rules.targets)} targets"
        )

    @report_failures
    def show(self, folder: str, settings: str = SETTINGS) -> None:
        """Print the merged content of a configuration folder as JSON.

        Args:
            folder: the folder of JSON files.
            settings: not read; accepted because most commands have it.
        """
        sections, _ = load_folder(str(folder))
        self.print_line(dumps(sections, indent=2, sort_keys=True))

    @report_failures
    def diff(self, folder: str, settings: str = SETTINGS) -> None:
        """Print what publishing a configuration folder would change.

        Args:
            folder: the folder of JSON files.
            settings: the operator's settings file.
        """
        folder = str(folder)
        sections, _ = load_folder(folder)
        head = _result_or_raise(
            open_session(settings, self.environment).publisher.read_head()
        )
        lines = difference_lines(head.parts.folder, sections)
        self.print_line(f"changes from version {head.version} to the folder:")
        for line in lines or ["no differences"]:
            self.print_line(line)
        if head.folder_version > read_base(folder):
            self.print_line(
                "others published folder changes after this folder's base version "
                f"{read_base(folder)}; see the command versions"
            )
        for line in difference_lines({}, head.parts.overrides):
            self.print_line(f"override kept: {line[2:]}")

    @report_failures
    def publish(
        self,
        folder: str,
        message: str,
        base: int | None = None,
        wait_ms: float = 0,
        settings: str = SETTINGS,
    ) -> ExitStatus:
        """Publish a configuration folder as the next version.

        Args:
            folder: the folder of JSON files.
            message: what changes and why; shown to other operators.
            base: the latest version whose changes the folder contains; by
                default the one that the last publish recorded in the folder.
            wait_ms: how long to wait for every entry host to activate the version.
            settings: the operator's settings file.
        """
        folder = str(folder)
        sections, _ = load_folder(folder)
        base_version = read_base(folder) if base is None else int(base)
        session = open_session(settings, self.environment)
        edit = folder_edit(sections, base_version, session.publisher)
        version = self._publish(session, edit, str(message))
        self._record_base(folder, version)
        return self._wait_until_active(session, version, wait_ms)

    @report_failures
    def drain(
        self, target: str, wait_ms: float = 0, settings: str = SETTINGS
    ) -> ExitStatus:
        """Publish an override that drains a target: it receives no new work.

        Args:
            target: the target's name.
            wait_ms: how long to wait for every entry host to activate the version.
            settings: the operator's settings file.
        """
        edit = drain_edit(str(target))
        return self._publish_edit(edit, f"drain {target}", wait_ms, settings)

    @report_failures
    def undrain(
        self, target: str, wait_ms: float = 0, settings: str = SETTINGS
    ) -> ExitStatus:
        """Publish the end of a target's drain: it receives new work again.

        Args:
            target: the target's name.
            wait_ms: how long to wait for every entry host to activate the version.
            settings: the operator's settings file.
        """
        edit = undrain_edit(str(target))
        return self._publish_edit(edit, f"undrain {target}", wait_ms, settings)

    @report_failures
    def versions(self, count: int = VERSIONS_SHOWN, settings: str = SETTINGS) -> None:
        """Print the latest versions, each with its operator, time and message.

        Args:
            count: the number of versions.
            settings: the operator's settings file.
        """
        publisher = open_session(settings, self.environment).publisher
        head = _result_or_raise(publisher.read_head())
        for record in _result_or_raise(
            publisher.read_versions(head.version, int(count))
        ):
            line = describe_record(record)
            self.print_line(f"{line} (publication {record.publish_id})")

    @report_failures
    def status(self, settings: str = SETTINGS, json: bool = False) -> ExitStatus:
        """Print the health, active version, members and load of every entry host.

        Args:
            settings: the operator's settings file.
            json: print each host's complete page as one JSON line.
        """
        pages = self._fetch_pages(settings, "/v1/status", {})
        if json:
            for page in pages:
                self.print_line(_page_json(page))
        else:
            for line in status_lines(pages):
                self.print_line(line)
        return self._report_missing_hosts(pages)

    @report_failures
    def timeline(
        self,
        job: str = "",
        task: int | None = None,
        target: str = "",
        json: bool = False,
        settings: str = SETTINGS,
    ) -> ExitStatus:
        """Print the events of all entry hosts in order of the operator's clock.

        Args:
            job: only this job's events.
            task: only events of the task with this index.
            target: only this target's events.
            json: print JSON lines.
            settings: the operator's settings file.
        """
        query = {"job": str(job), "target": str(target)}
        pages = self._fetch_pages(settings, "/v1/timeline", query)
        format_event = event_json if json else event_line
        for event in merge_events(pages, task):
            self.print_line(format_event(event))
        return self._report_missing_hosts(pages)

    @report_failures
    def story(self, name: str, *files: str) -> ExitStatus:
        """Print the trace of a job, task, worker or daemon on the platform.

        Args:
            name: the id of a job, task or worker, or the name of a daemon.
            files: log files of daemons; differences of their clocks are corrected.
        """
        try:
            for line in trace_lines(read_lines(files), str(name)):
                self.print_line(line)
        except (OSError, TraceError) as error:
            self.print_failure(str(error), ExitStatus.ERROR)
            return ExitStatus.ERROR
        return ExitStatus.OK

    def print_line(self, line: str) -> None:
        """Print one line to standard output."""
        print(line, file=self.environment.stdout)

    def print_failure(self, line: str, status: ExitStatus) -> None:
        """Print one line to standard error and set the exit status."""
        print(line, file=self.environment.stderr)
        self.exit_status = status

    def _publish_edit(
        self, edit: Edit, message: str, wait_ms: float, settings: str
    ) -> ExitStatus:
        session = open_session(settings, self.environment)
        version = self._publish(session, edit, message)
        return self._wait_until_active(session, version, wait_ms)

    def _publish(self, session: Session, edit: Edit, message: str) -> int:
        outcome = _result_or_raise(session.publisher.publish(edit, message))
        if isinstance(outcome, Unchanged):
            self.print_line(
                f"nothing to change: same content as version {outcome.version}"
            )
            return outcome.version
        self.print_line(f"accepted: version {outcome.record.version}")
        notify_hosts(session.settings.entry_addresses)
        return outcome.record.version

    def _wait_until_active(
        self, session: Session, version: int, wait_ms: float
    ) -> ExitStatus:
        """Wait up to ``wait_ms`` and print where the version is active; skip if 0."""
        if not wait_ms:
            return ExitStatus.OK
        addresses = session.settings.entry_addresses
        clock, timeout_ms = self.environment.clock, session.settings.timeout_ms
        outcome = wait_until_active(addresses, version, wait_ms, clock, timeout_ms)
        self.print_line(
            f"active on {len(outcome.active_hosts)} of {len(addresses)} entry hosts "
            f"after {outcome.elapsed_ms:.0f} ms"
        )
        for host in outcome.missing_hosts:
            self.print_line(f"not yet active on {host}; see the command status")
        return ExitStatus.ERROR if outcome.missing_hosts else ExitStatus.OK

    def _record_base(self, folder: str, version: int) -> None:
        try:
            write_base(folder, version)
        except OSError as error:
            self.print_line(
                f"cannot record the base in the folder ({error.strerror}); "
                f"next time, publish with --base {version}"
            )

    def _fetch_pages(self, settings: str, path: str, query: dict) -> list[HostPage]:
        loaded = load_settings(settings, OperatorSettings)
        clock = self.environment.clock
        addresses = loaded.entry_addresses
        return fetch_pages(addresses, path, query, clock, loaded.timeout_ms)

    def _report_missing_hosts(self, pages: list[HostPage]) -> ExitStatus:
        """Print failed hosts to standard error; return UNREACHABLE if all failed."""
        missing = [page for page in pages if isinstance(page.content, Failure)]
        for page in missing:
            reason = page.content.reason
            print(
                f"no response from {page.host}: {reason}", file=self.environment.stderr
            )
        all_missing = pages and len(missing) == len(pages)
        return ExitStatus.UNREACHABLE if all_missing else ExitStatus.OK


def open_session(settings_path: str, environment: Environment) -> Session:
    """Load the operator's settings file and create the publisher."""
    settings = load_settings(settings_path, OperatorSettings)
    client = PlatformClient(settings.platform_address, settings.timeout_ms)
    addresses = tuple(settings.entry_addresses.values())
    publisher = Publisher(
        settings.operator,
        environment,
        client,
        client,
        settings.publish_within_ms,
        fetch_copies=partial(fetch_documents, addresses, settings.timeout_ms),
    )
    return Session(settings, publisher)


def _result_or_raise(result: object) -> object:
    if isinstance(result, Failure):
        raise CommandError(result)
    return result


def _page_json(page: HostPage) -> str:
    content = page.content
    if isinstance(content, Failure):
        content = {"failure": {"kind": content.kind.value, "reason": content.reason}}
    return dumps({"host": page.host} | content)
