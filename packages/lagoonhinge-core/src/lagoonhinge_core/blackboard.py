"""The blackboard: shared sections of frozen data, each written by one controller."""

from collections.abc import Iterator
from typing import Any, Generic, TypeVar

SectionT = TypeVar("SectionT")


class SectionWriter(Generic[SectionT]):
    """The only writer of a section."""

    def __init__(self, board: "Blackboard", section_type: type[SectionT], owner: str):
        self._board = board
        self.section_type = section_type
        self.owner = owner

    def post(self, section: SectionT) -> None:
        """Replace the section."""
        assert type(section) is self.section_type, f"{self.owner} posted {section!r}"
        self._board.sections[self.section_type] = section


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
        section_type = type(initial)
        current = self.writers.get(section_type)
        assert current is None, (
            f"{section_type.__name__} is written by {current}, not {owner}"
        )
        self.writers[section_type] = owner
        self.sections[section_type] = initial
        return SectionWriter(self, section_type, owner)

    def read(self, section_type: type[SectionT]) -> SectionT:
        """Return the current value of a section."""
        section = self.sections[section_type]
        assert isinstance(section, section_type)
        return section

    def find(self, default: SectionT) -> SectionT:
        """Return the current value of a section, or the default if it has no writer."""
        section = self.sections.get(type(default), default)
        assert isinstance(section, type(default))
        return section

    def items(self) -> Iterator[tuple[str, Any]]:
        """Return every section with its name, for the state dump."""
        for section_type, section in self.sections.items():
            yield section_type.__name__, section
