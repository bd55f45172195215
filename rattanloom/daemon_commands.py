"""The commands of ``dispatcher.py``: run a daemon, or check its settings file."""

import os

from attrs import define

from rattanloom.build_id import build_id
from rattanloom.daemon import main
from rattanloom.environment import Environment
from rattanloom.platform.deployment import SETTINGS_VARIABLE, load_deployment
from rattanloom.settings import SettingsError
from rattanloom.status import ExitStatus

PACKAGE = "rattanloom"


@define(eq=False, repr=False)
class DaemonCommands:
    """Runs commands; ``exit_status`` is the exit status of the last one."""

    environment: Environment
    exit_status: ExitStatus = ExitStatus.OK

    def run(self) -> None:
        """Run a daemon with the settings file that RATTANLOOM_SETTINGS names."""
        self.exit_status = main(self.environment)

    def check(self, path: str = "") -> None:
        """Check a settings file and print the values that the daemon would use.

        Args:
            path: the file; by default the one that RATTANLOOM_SETTINGS names.
        """
        path = str(path) or os.environ.get(SETTINGS_VARIABLE, "")
        try:
            deployment = load_deployment(path)
        except SettingsError as error:
            print(error, file=self.environment.stderr)
            self.exit_status = ExitStatus.SETTINGS
            return
        listen = deployment.listen
        print(
            f"{path}: valid",
            f"node       {deployment.node} in zone {deployment.zone}",
            f"clients    {listen.clients}",
            f"readiness  {listen.readiness}",
            f"daemons    {deployment.peer_listen_address}",
            f"store      {deployment.store.address}",
            f"processor  {deployment.cpu_cores:.2f} cores",
            f"clients'    {deployment.client_memory_bytes // 1_000_000} MB and "
            f"{deployment.client_connections} connections at most",
            sep="\n",
            file=self.environment.stdout,
        )

    def version(self) -> None:
        """Print the version of the installed package, and the build that would run."""
        # Imported here: it loads modules that a running daemon does not need.
        from importlib.metadata import PackageNotFoundError, version

        try:
            text = version(PACKAGE)
        except PackageNotFoundError:
            text = "unknown (not installed)"
        print(f"{PACKAGE} {text} build {build_id()}", file=self.environment.stdout)
