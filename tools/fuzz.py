"""Run the features' state machines with more examples and a given seed."""

from dataclasses import dataclass
from os import environ
from random import SystemRandom
from subprocess import run
from sys import executable, exit
from typing import Annotated

from cappa import Arg, command, parse

from features.support.fuzz import EXAMPLES_VARIABLE, SEED_VARIABLE

FUZZ_TAG = "fuzz"


@command(name="fuzz")
@dataclass
class FuzzFlags:
    """Run every scenario tagged @fuzz with more examples."""

    examples: Annotated[int, Arg(long=True, help="Examples for each machine.")] = 1000
    seed: Annotated[int | None, Arg(long=True, help="Seed; random by default.")] = None

    def __call__(self) -> int:
        """Run the machines and return behave's exit status."""
        seed = SystemRandom().randrange(2**32) if self.seed is None else self.seed
        print(f"seed {seed}, {self.examples} examples for each machine", flush=True)
        variables = {EXAMPLES_VARIABLE: str(self.examples), SEED_VARIABLE: str(seed)}
        behave_flags = ("--tags", FUZZ_TAG, "--no-skipped", "--no-capture")
        return run(
            (executable, "-m", "behave", *behave_flags),
            env={**environ, **variables},
            check=False,
        ).returncode


if __name__ == "__main__":
    exit(parse(FuzzFlags)())
