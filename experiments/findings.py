"""Collects the results of a demonstration's checks."""

from attrs import define, field


@define(eq=False)
class Findings:
    """Prints check results; ``broken`` lists the texts of the failed checks."""

    broken: list[str] = field(factory=list, kw_only=True)

    def expect(self, text: str, passed: bool) -> None:
        """Print the result of one check, and record it if it failed."""
        print(f"  {'ok ' if passed else 'NOT'} {text}")
        if not passed:
            self.broken.append(text)

    def exit_status(self) -> int:
        """Print a summary and return the exit status."""
        print(
            "All checks passed." if not self.broken else f"Failed checks: {self.broken}"
        )
        return 1 if self.broken else 0
