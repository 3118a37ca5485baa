"""Checks that every implementation of a base class must pass."""

import ast
import importlib
import inspect
import pkgutil
import textwrap
import unittest

import daisyhub
from daisyhub.balancing import EndpointState
from daisyhub.base import Balancer, Controller, Core, Filter
from daisyhub.cli._base import Command
from daisyhub.settings import Address

BASES = (Balancer, Controller, Core, Filter, Command)


def import_all():
    for found in pkgutil.walk_packages(daisyhub.__path__, "daisyhub."):
        is_test = ".tests" in found.name or ".testing" in found.name
        if not is_test and not found.name.endswith("__main__"):
            importlib.import_module(found.name)


def descendants(base):
    """All classes below a base; abstract ones only if nothing derives."""
    for kind in base.__subclasses__():
        if not inspect.isabstract(kind) or not kind.__subclasses__():
            yield kind
        yield from descendants(kind)


def implementations(base):
    import_all()
    found = []
    for kind in dict.fromkeys(descendants(base)):
        if kind.__module__.startswith("daisyhub.") and ".tests" not in str(
            kind.__module__
        ):
            found.append(kind)
    return found


def states(count):
    return [
        EndpointState(
            endpoint_id=f"e{number}",
            pool="p",
            address=Address(ip="127.0.0.1", port=1000 + number),
            incarnation=1,
            reported_load=float(number),
        )
        for number in range(count)
    ]


class CommonChecks(unittest.TestCase):
    def each(self, base):
        found = implementations(base)
        self.assertTrue(found)
        for kind in found:
            with self.subTest(kind.__name__):
                yield kind

    def test_every_implementation_is_documented_and_concrete(self):
        for base in BASES:
            for kind in self.each(base):
                self.assertTrue(inspect.getdoc(kind))
                self.assertFalse(inspect.isabstract(kind))

    def test_names_are_unique(self):
        for base in (Filter, Controller, Command):
            names = [kind.name for kind in implementations(base)]
            self.assertEqual(len(names), len(set(names)))

    def test_constructors_take_no_time(self):
        """A constructor awaits nothing and starts nothing."""
        for base in BASES:
            for kind in self.each(base):
                if "__init__" not in vars(kind):
                    continue
                text = textwrap.dedent(inspect.getsource(kind.__init__))
                nodes = list(ast.walk(ast.parse(text)))
                loops = (ast.Await, ast.While, ast.With, ast.AsyncWith)
                self.assertFalse([n for n in nodes if isinstance(n, loops)])

    def test_cores_refuse_foreign_events_and_read_no_clock(self):
        for kind in self.each(Core):
            module = inspect.getsource(inspect.getmodule(kind))
            for word in ("import time", "import anyio", "import random"):
                self.assertNotIn(word, module)
            self.assertIn("raise TypeError", inspect.getsource(kind.handle))

    def test_filters_take_a_request_and_the_rest_of_the_chain(self):
        for kind in self.each(Filter):
            names = list(inspect.signature(kind.handle).parameters)
            self.assertEqual(names, ["self", "req", "call_next"])
            self.assertTrue(inspect.iscoroutinefunction(kind.handle))

    def test_controllers_run_and_tell_status(self):
        for kind in self.each(Controller):
            self.assertTrue(inspect.iscoroutinefunction(kind.run))
            self.assertFalse(inspect.iscoroutinefunction(kind.status))

    def test_balancers_choose_a_candidate_repeatably(self):
        for kind in self.each(Balancer):
            self.assertIsNone(kind(random_state=1).choose([]))
            ids = {state.endpoint_id for state in states(5)}
            one, two = kind(random_state=1), kind(random_state=1)
            for _ in range(50):
                chosen = one.choose(states(5))
                self.assertIn(chosen, ids)
                self.assertEqual(chosen, two.choose(states(5)))
