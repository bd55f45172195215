#!/usr/bin/env bash
# The stand-ins are Python modules of review/lib, which the scripts run in their own
# process; they need the standard library only. Checks that all of them compile.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
assert sys.version_info >= (3, 11), sys.version
END
