"""The blackboard: shared sections of frozen data, each written by one controller."""

from collections.abc import Iterator
from typing import Any, Generic, TypeVar

SectionT = TypeVar("SectionT")


class SectionWriter(Generic[SectionT]):
    """The only writer of a section."""

    def __init__(self, board: "Blackboard", kind: type[SectionT], owner: str):
        self._board = board
        self.kind = kind
        self.owner = owner

    def post(self, section: SectionT) -> None:
        """Replace the section."""
        assert type(section) is self.kind, f"{self.owner} posted {section!r}"
        self._board.sections[self.kind] = section


class Blackboard:
    """Current value of each section, by its class."""

    def __init__(self) -> None:
        self.sections: dict[type[Any], Any] = {}
        self.writers: dict[type[Any], str] = {}

    def writer(self, initial: SectionT, owner: str) -> SectionWriter[SectionT]:
        """Register the only writer of a section and post the first value.

        Args:
            initial: First value; its class identifies the section.
            owner: Name of the controller that writes it.

        Returns:
            The writer.

        Raises:
            AssertionError: The section has a writer already.
        """
        kind = type(initial)
        current = self.writers.get(kind)
        assert current is None, f"{kind.__name__} is written by {current}, not {owner}"
        self.writers[kind] = owner
        self.sections[kind] = initial
        return SectionWriter(self, kind, owner)

    def read(self, kind: type[SectionT]) -> SectionT:
        """Return the current value of a section."""
        section = self.sections[kind]
        assert isinstance(section, kind)
        return section

    def find(self, default: SectionT) -> SectionT:
        """Return the current value of a section, or the default if it has no writer."""
        section = self.sections.get(type(default), default)
        assert isinstance(section, type(default))
        return section

    def items(self) -> Iterator[tuple[str, Any]]:
        """Return every section with its name, for the state dump."""
        for kind, section in self.sections.items():
            yield kind.__name__, section
