"""Small things that several test files share."""

from attrs import define


@define
class FakeClock:
    """A clock moved by hand, in milliseconds."""

    ms: float = 0.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return self.ms
