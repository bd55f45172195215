"""The operators' command line, for example ``rattanloom-operator publish FOLDER``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from fire import Fire  # noqa: E402

from rattanloom.environment import Environment  # noqa: E402
from rattanloom.operators.commands import OperatorCommands  # noqa: E402


def main() -> None:
    """Read the command line and run one command."""
    commands = OperatorCommands(Environment())
    Fire(
        {
            "check": commands.check,
            "show": commands.show,
            "diff": commands.diff,
            "publish": commands.publish,
            "versions": commands.versions,
            "status": commands.status,
            "drain": commands.drain,
            "undrain": commands.undrain,
            "timeline": commands.timeline,
            "story": commands.story,
        },
        name="rattanloom-operator",
    )
    sys.exit(commands.exit_status)


if __name__ == "__main__":
    main()
