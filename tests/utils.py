"""Small things that several test files share."""

from attrs import define

from rattanloom.errors import ErrorKind, Failure


@define
class FakeClock:
    """A clock moved by hand, in milliseconds."""

    ms: float = 0.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return self.ms


class FakeObjects:
    """An object store in memory that counts its reads."""

    def __init__(self):
        self.contents = {}
        self.reads = 0
        self.down = False

    def put(self, name, content):
        if self.down:
            return Failure(ErrorKind.PLATFORM_UNREACHABLE, "down")
        self.contents[name] = content
        return None

    def get(self, name):
        self.reads += 1
        if self.down or name not in self.contents:
            return Failure(ErrorKind.NOT_FOUND, "no such object")
        return self.contents[name]
