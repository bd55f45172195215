"""What a demonstration found: each finding is printed, and the verdict at the end."""

from attrs import define, field


@define(eq=False)
class Findings:
    """The findings so far; ``broken`` lists what did not hold."""

    broken: list[str] = field(factory=list, kw_only=True)

    def expect(self, text: str, held: bool) -> None:
        """Print one finding, and remember it if it did not hold."""
        print(f"  {'ok ' if held else 'NOT'} {text}")
        if not held:
            self.broken.append(text)

    def exit_status(self) -> int:
        """Print the verdict and return the exit status."""
        print("Everything held." if not self.broken else f"Broken: {self.broken}")
        return 1 if self.broken else 0
