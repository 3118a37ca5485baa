"""A step's items get slots before the engines load the version after."""

import unittest

from daisyhub.weights import LoadMode, LoadSituation, should_defer_load

ENGINES, SLOTS, ITEMS = 7, 6, 56
LOAD_S, RUN_S, STEP_S = 0.9, 0.9, 0.05
AT_ONCE = 3


def situation(**fields):
    return LoadSituation(
        **{
            "mode": LoadMode.CONTINUE,
            "version": 4,
            "published_s": 0.1,
            "required_version": 4,
            "usable_items": 3,
            "free_slots": 2,
            **fields,
        }
    )


def play_step(should_defer):
    """Plays a step that arrives 0.1 s after a version was published.

    Returns when its last item has started and when all engines have loaded,
    seconds after the publication.
    """
    waiting, started_s, now_s = ITEMS, 0.0, 0.0
    ends = [[] for _ in range(ENGINES)]
    load_ends = [None] * ENGINES
    while waiting or not all(load_ends) or max(load_ends) > now_s:
        arrived = waiting if now_s >= 0.1 else 0
        for engine in range(ENGINES):
            ends[engine] = [e for e in ends[engine] if e > now_s]
        loading = sum(bool(e) and e > now_s for e in load_ends)
        for engine in range(ENGINES):
            free = SLOTS - len(ends[engine])
            if load_ends[engine] is None and loading < AT_ONCE:
                view = situation(
                    published_s=now_s,
                    required_version=4 if arrived else 0,
                    usable_items=arrived,
                    free_slots=free,
                )
                if not should_defer(view):
                    load_ends[engine] = now_s + LOAD_S
                    loading += 1
        for engine in range(ENGINES):
            is_loading = (load_ends[engine] or 0) > now_s
            while not is_loading and arrived and len(ends[engine]) < SLOTS:
                ends[engine].append(now_s + RUN_S)
                arrived -= 1
                waiting -= 1
                started_s = now_s
        now_s += STEP_S
    return started_s, max(load_ends)


class DeferralTest(unittest.TestCase):
    def test_an_engine_too_old_for_what_waits_loads_at_once(self):
        self.assertFalse(should_defer_load(situation(required_version=5)))

    def test_a_step_that_is_about_to_arrive_is_waited_for(self):
        self.assertTrue(
            should_defer_load(situation(usable_items=0, required_version=0))
        )

    def test_an_engine_with_full_slots_loads(self):
        self.assertFalse(
            should_defer_load(situation(published_s=0.5, free_slots=0))
        )

    def test_an_engine_without_use_for_its_slots_loads(self):
        self.assertFalse(
            should_defer_load(situation(published_s=0.5, usable_items=0))
        )

    def test_no_load_is_deferred_for_long(self):
        self.assertTrue(should_defer_load(situation(published_s=1.4)))
        self.assertFalse(should_defer_load(situation(published_s=1.6)))

    def test_a_load_that_waits_for_runs_is_not_deferred(self):
        self.assertFalse(should_defer_load(situation(mode=LoadMode.FINISH)))

    def test_the_items_of_a_step_start_sooner_and_the_loads_still_end(self):
        before_s, _ = play_step(lambda _: False)
        after_s, loaded_s = play_step(should_defer_load)
        self.assertLess(after_s, before_s - 0.3)
        # The step after next comes 4 s later.
        self.assertLess(loaded_s, 4.0)
