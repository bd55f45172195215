"""Command line of an entry host: ``rattanloom-entry SETTINGS.json``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from fire import Fire  # noqa: E402

from rattanloom.core import main as run_entry  # noqa: E402


def serve(settings: str) -> None:
    """Run one entry host until SIGTERM.

    Args:
        settings: path of the JSON settings file; docs/OPERATIONS.md lists
            its fields.
    """
    sys.exit(run_entry(str(settings)))


def main() -> None:
    """Parse the command line and run ``serve``."""
    Fire(serve, name="rattanloom-entry")


if __name__ == "__main__":
    main()
