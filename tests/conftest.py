"""Makes the whole test run cooperative, as every program is."""

from gevent.monkey import patch_all

patch_all()
