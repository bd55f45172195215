"""Start the dispatcher on the platform: ``python3 dispatcher.py``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from rattanloom.daemon import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
