"""The callers' command line, ``rattanloom``: submits, queries and cancels jobs."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from fire import Fire  # noqa: E402

from rattanloom.callers.commands import CallerCommands  # noqa: E402
from rattanloom.environment import Environment  # noqa: E402


def main() -> None:
    """Read the command line and run one command."""
    commands = CallerCommands(Environment())
    Fire(
        {
            "submit": commands.submit,
            "resubmit": commands.resubmit,
            "ask": commands.ask,
            "cancel": commands.cancel,
            "tickets": commands.tickets,
        },
        name="rattanloom",
    )
    sys.exit(commands.status)


if __name__ == "__main__":
    main()
