"""Runs one soak for each seed; the last line of output is a summary in JSON.

``python -m soak seeds --first 1 --seeds 50`` or ``python -m soak regressions``.
"""

from gevent import monkey

monkey.patch_all()

from fire import Fire  # noqa: E402

from soak.play import play_regressions, play_seeds  # noqa: E402

if __name__ == "__main__":
    Fire({"seeds": play_seeds, "regressions": play_regressions}, name="soak")
