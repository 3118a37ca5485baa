"""Texts that a holder saves carry the release that began them."""

import asyncio
import random
import unittest

import msgspec

from daisyhub.lots import DispatchCore, LotStore
from daisyhub.lots._run_states import Progress, RunFault
from daisyhub.lots._run_types import FinishItem, LotOpened, RunFailed, StartRun
from daisyhub.lots.tests.test_dispatch_core import (
    V1,
    V2,
    Driver,
    engines,
    item,
    lot,
)
from daisyhub.testing.object_store import MemoryStore

LENGTH = 6
ITEMS = tuple(item(f"i{n}", reward=False) for n in range(8))
RELEASES = {"e0": V1, "e1": V1, "e2": V2, "e3": V2, "e4": None}


class Holders:
    """Holders of one lot, each of which has only what is in the store."""

    def __init__(self, rng):
        self.rng = rng
        self.lots = LotStore(MemoryStore())
        self.revision = 0
        self.driver = Driver()
        # Open runs: the action, and the mark of the process that serves it.
        self.runs = {}
        self.results = {}
        self.resumed = 0

    def save(self):
        progress = self.driver.core.progress_of("L")
        if progress:
            self.revision = asyncio.run(
                self.lots.save_progress("L", progress, self.revision)
            )
        return progress

    def replace(self):
        """Has the next holder open the lot from the store."""
        saved = asyncio.run(self.lots.progress("L"))
        self.driver.core = DispatchCore()
        self.runs.clear()
        self.list_engines()
        opened = lot(*ITEMS)
        opened = LotOpened(
            opened.spec,
            "pool",
            10.0,
            1000.0,
            frozenset(self.results),
            saved,
        )
        self.process(self.driver.feed(opened))

    def list_engines(self):
        """Lists some of the engines."""
        count = self.rng.randint(1, len(RELEASES))
        names = self.rng.sample(sorted(RELEASES), count)
        self.process(self.driver.feed(engines(*names, releases=RELEASES)))

    def process(self, actions):
        for action in actions:
            if isinstance(action, StartRun):
                # Processes of unknown release may differ at each run.
                version = action.release.version if action.release else ""
                self.runs[action.run] = (action, version or f"?{action.run}")
                self.resumed += action.resume_after > 0
            elif isinstance(action, FinishItem):
                self.results[action.result.item_id] = action.result

    def step(self):
        """Has one run get an event, break or end; time passes."""
        self.process(self.driver.tick(0.05))
        core = self.driver.core
        open_runs = [run for run in self.runs if core.find_run(run)]
        if not open_runs:
            return
        run = self.rng.choice(open_runs)
        state = core.find_run(run)
        if self.rng.random() < 0.1:
            fault = RunFailed(run, RunFault.BROKEN)
            self.process(self.driver.feed(fault))
        elif len(state.texts) < LENGTH:
            self.process(self.driver.receive(run, self.runs[run][1]))
        else:
            self.process(self.driver.complete(run))


class SavedTextTest(unittest.TestCase):
    def test_no_text_is_joined_from_two_releases_by_later_holders(self):
        """A text without its release went on at any engine."""
        resumed = 0
        for seed in range(60):
            holders = Holders(random.Random(seed))
            holders.replace()
            for _ in range(6):
                for _ in range(40):
                    holders.step()
                for name, progress in holders.save().items():
                    marks = set(progress.texts)
                    self.assertEqual(len(marks), 1, (seed, name, progress))
                    release = progress.release
                    expected = release.version if release else "?"
                    self.assertTrue(marks.pop().startswith(expected), name)
                holders.replace()
            resumed += holders.resumed
            for result in holders.results.values():
                marks = set(result.text.split("\n"))
                self.assertEqual(len(marks), 1, (seed, result))
        self.assertGreater(resumed, 60)

    def test_a_saved_text_without_a_release_begins_anew(self):
        """Guards against texts of daemons that didn't save the release."""
        store = MemoryStore()
        progress = {"i0": Progress(("x", "y"), (1, 1), release=V1)}
        spec = msgspec.to_builtins(progress)
        del spec["i0"]["release"]
        store.put("lot-progress", "L", msgspec.json.encode(spec))
        saved = asyncio.run(LotStore(store).progress("L"))
        self.assertEqual(saved["i0"].texts, ("x", "y"))
        for release in (V1, None):
            driver = Driver()
            driver.feed(engines("e0", releases={"e0": release}))
            opened = lot(item("i0"))
            opened = LotOpened(opened.spec, "pool", 1.0, 9.0, progress=saved)
            (run,) = driver.runs(driver.feed(opened))
            self.assertEqual(run.resume_after, 0)
