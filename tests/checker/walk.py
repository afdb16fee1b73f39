"""Walks a small case whole: all orders of events up to a depth, each state once.

Run as ``python -m tests.checker.walk [SECONDS]`` it prints the states of each depth.
"""

import gc
import random
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass

from tests.checker.walk_key import state_key
from tests.checker.walk_steps import steps
from tests.checker.walk_world import World, initial_world

WEIGHTS = (0.05, 0.3, 1.0, 3.0)
WITHOUT_DIGITS = str.maketrans("", "", "0123456789")


@dataclass(slots=True)
class Walk:
    """What a walk has seen; ``trace`` leads to ``problem``, if there is one."""

    states: int = 0
    orders: int = 0
    steps: int = 0
    # The depth to which all orders were walked, and the states first seen at each.
    depth: int = 0
    by_depth: tuple[int, ...] = ()
    problem: str = ""
    trace: tuple[str, ...] = ()


def walk(seconds: float, max_depth: int = 100) -> Walk:
    """Walk all orders, breadth first, for at most ``seconds`` of real time."""
    # The states have no cycles, and the collector would visit all of them again.
    gc.disable()
    try:
        return _walk(seconds, max_depth)
    finally:
        gc.enable()


def _walk(seconds: float, max_depth: int) -> Walk:
    end = time.monotonic() + seconds
    world = initial_world()
    seen = {state_key(world)}
    level: list[tuple[World, tuple]] = [(world, ())]
    found = Walk(states=1, by_depth=(1,))
    while level and found.depth < max_depth:
        following: list[tuple[World, tuple]] = []
        for state, trace in level:
            if time.monotonic() > end:
                return found
            for name, step in steps(state):
                found.steps += 1
                successor = state.clone()
                step(successor)
                successor.drop_void_writes()
                if successor.problem:
                    found.problem = successor.problem
                    found.trace = _names((trace, name))
                    return found
                key = state_key(successor)
                if key in seen:
                    continue
                seen.add(key)
                found.states += 1
                following.append((successor, (trace, name)))
        found.depth += 1
        found.by_depth += (len(following),)
        level = following
    return found


def stroll(seed: int, orders: int, length: int) -> Walk:
    """Walk ``orders`` random orders of ``length`` events each, to a greater depth.

    Each order draws how often each kind of event happens, so that some orders have
    many of one kind.
    """
    rng = random.Random(seed)
    found = Walk()
    for _ in range(orders):
        found.orders += 1
        weights: dict[str, float] = {}
        world, trace = initial_world(), []
        for _ in range(length):
            possible = list(steps(world))
            shares = [_weight(rng, weights, name) for name, _ in possible]
            ((name, step),) = rng.choices(possible, shares)
            step(world)
            trace.append(name)
            found.steps += 1
            if world.problem:
                found.problem, found.trace = world.problem, tuple(trace)
                return found
    return found


def _weight(rng: random.Random, weights: dict[str, float], name: str) -> float:
    """Return the weight of the kind of an event, which its numbers don't tell."""
    kind = name.translate(WITHOUT_DIGITS)
    if kind not in weights:
        weights[kind] = rng.choice(WEIGHTS)
    return weights[kind]


def play(names: Iterable[str]) -> World:
    """Return the world after these events, or before one that is not possible."""
    world = initial_world()
    for name in names:
        step = dict(steps(world)).get(name)
        if step is None:
            break
        step(world)
    return world


def _names(trace: tuple) -> tuple[str, ...]:
    names = []
    while trace:
        trace, name = trace
        names.append(name)
    return tuple(reversed(names))


def main() -> None:
    """Walk for some seconds and print what was seen."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    found = walk(seconds)
    print(f"states {found.states}, steps {found.steps}, whole depth {found.depth}")
    print("first seen at each depth:", *found.by_depth)
    if found.problem:
        print(found.problem, *found.trace, sep="\n  ")
        raise SystemExit(1)


if __name__ == "__main__":
    main()
