"""Starts a daemon on the platform: ``python3 dispatcher.py``.

Other commands: ``check [PATH]``, ``version`` (or ``--version``) and ``--help``.
"""

import sys

from rattanloom.daemon_imports import lean_imports

with lean_imports():
    from rattanloom.daemon_commands import DaemonCommands
    from rattanloom.environment import Environment


def main() -> int:
    """Run the daemon, or the command given on the command line."""
    commands = DaemonCommands(Environment())
    if len(sys.argv) == 1:
        commands.run()
    else:
        # Imported here: a running daemon should not spend time and memory on Fire.
        from fire import Fire

        named = {
            "run": commands.run,
            "check": commands.check,
            "version": commands.version,
        }
        arguments = ["version"] if sys.argv[1:] == ["--version"] else sys.argv[1:]
        Fire(named, command=arguments, name="dispatcher.py")
    return commands.exit_status


if __name__ == "__main__":
    sys.exit(main())
