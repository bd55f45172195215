"""Play seeded soaks: ``python -m soak --seeds 50``; ends in one JSON line."""

from gevent import monkey

monkey.patch_all()

from fire import Fire  # noqa: E402

from soak.play import play_seeds  # noqa: E402

if __name__ == "__main__":
    Fire(play_seeds)
