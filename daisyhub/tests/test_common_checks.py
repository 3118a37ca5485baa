"""Tests that all implementations of the base classes must pass."""

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


def import_all_modules():
    for module in pkgutil.walk_packages(daisyhub.__path__, "daisyhub."):
        is_test = ".tests" in module.name or ".testing" in module.name
        if not is_test and not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def iter_subclasses(base):
    """Yields the subclasses of a base class, indirect ones included.

    Abstract classes are yielded only if they have no subclasses.
    """
    for kind in base.__subclasses__():
        if not inspect.isabstract(kind) or not kind.__subclasses__():
            yield kind
        yield from iter_subclasses(kind)


def find_implementations(base):
    import_all_modules()
    found = []
    for kind in dict.fromkeys(iter_subclasses(base)):
        if kind.__module__.startswith("daisyhub.") and ".tests" not in str(
            kind.__module__
        ):
            found.append(kind)
    return found


def make_states(count):
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


class CommonChecksTest(unittest.TestCase):
    def each_implementation(self, base):
        found = find_implementations(base)
        self.assertTrue(found)
        for kind in found:
            with self.subTest(kind.__name__):
                yield kind

    def test_implementations_are_documented_and_concrete(self):
        for base in BASES:
            for kind in self.each_implementation(base):
                self.assertTrue(inspect.getdoc(kind))
                self.assertFalse(inspect.isabstract(kind))

    def test_names_are_unique(self):
        for base in (Filter, Controller, Command):
            names = [kind.name for kind in find_implementations(base)]
            self.assertEqual(len(names), len(set(names)))

    def test_constructors_do_not_wait(self):
        """Checks that constructors contain no `await`, `while` or `with`."""
        for base in BASES:
            for kind in self.each_implementation(base):
                if "__init__" not in vars(kind):
                    continue
                source = textwrap.dedent(inspect.getsource(kind.__init__))
                nodes = list(ast.walk(ast.parse(source)))
                forbidden = (ast.Await, ast.While, ast.With, ast.AsyncWith)
                self.assertFalse([n for n in nodes if isinstance(n, forbidden)])

    def test_cores_reject_unknown_events_and_read_no_clock(self):
        for kind in self.each_implementation(Core):
            source = inspect.getsource(inspect.getmodule(kind))
            for statement in ("import time", "import anyio", "import random"):
                self.assertNotIn(statement, source)
            self.assertIn("raise TypeError", inspect.getsource(kind.handle))

    def test_filters_have_the_signature_of_the_base_class(self):
        for kind in self.each_implementation(Filter):
            names = list(inspect.signature(kind.handle).parameters)
            self.assertEqual(names, ["self", "req", "call_next"])
            self.assertTrue(inspect.iscoroutinefunction(kind.handle))

    def test_controllers_have_async_run_and_sync_status(self):
        for kind in self.each_implementation(Controller):
            self.assertTrue(inspect.iscoroutinefunction(kind.run))
            self.assertFalse(inspect.iscoroutinefunction(kind.status))

    def test_balancers_choose_deterministically(self):
        for kind in self.each_implementation(Balancer):
            self.assertIsNone(kind(random_state=1).choose([]))
            ids = {state.endpoint_id for state in make_states(5)}
            first, second = kind(random_state=1), kind(random_state=1)
            for _ in range(50):
                chosen = first.choose(make_states(5))
                self.assertIn(chosen, ids)
                self.assertEqual(chosen, second.choose(make_states(5)))
