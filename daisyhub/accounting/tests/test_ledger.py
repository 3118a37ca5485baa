import unittest

import msgspec

from daisyhub.accounting import (
    Ledger,
    PartCount,
    SealedParts,
    SealedWindow,
    UsageCounters,
    UsagePart,
    seal,
)

WINDOW_S = 60.0


def part(number, window, daemon_id="a", epoch=1):
    counts = (PartCount("yard", 1, 5),)
    return UsagePart(
        daemon_id=daemon_id,
        epoch=epoch,
        number=number,
        window=window,
        counts=counts,
    )


def figures(ledger):
    """Returns (requests, late requests) by unreported window."""
    found = {}
    for report in ledger.unreported:
        sealed = msgspec.json.decode(report.body, type=SealedWindow)
        late = sum(count.requests for count in sealed.late)
        found[report.window] = (sum(c.requests for c in sealed.counts), late)
    return found


class SealTest(unittest.TestCase):
    """Guards against windows that are counted wrongly or never sealed."""

    def test_after_an_outage_each_window_gets_its_own_counts(self):
        parts = [part(1, 60), part(2, 120), part(3, 120), part(4, 240)]
        ledger = seal("busan", Ledger(), parts, 180, WINDOW_S)
        self.assertEqual(figures(ledger), {60: (1, 0), 120: (2, 0)})

    def test_late_parts_count_as_late_in_the_next_window(self):
        ledger = seal("busan", Ledger(), [part(2, 60)], 60, WINDOW_S)
        parts = [part(1, 60), part(2, 60), part(3, 120)]
        ledger = seal("busan", ledger, parts, 120, WINDOW_S, frozenset([60]))
        self.assertEqual(figures(ledger), {120: (2, 1)})
        self.assertIs(seal("busan", ledger, parts, 180, WINDOW_S), ledger)

    def test_a_clock_far_ahead_does_not_delay_sealing(self):
        """Neither a part nor a sealed window of a day ahead stops sealing."""
        ledger = seal("busan", Ledger(), [part(1, 86400)], 60, WINDOW_S)
        self.assertEqual(figures(ledger), {60: (1, 1)})
        ahead = seal("busan", ledger, [part(2, 60)], 86400, WINDOW_S)
        after = seal("busan", ahead, [part(3, 120)], 120, WINDOW_S)
        self.assertEqual(after.window, 86460)

    def test_sealing_stops_at_the_limit_of_unreported_windows(self):
        """Otherwise the ledger grows without limit while reports fail."""
        ledger = Ledger()
        parts = [part(number, 60 * number) for number in range(1, 100)]
        for _ in range(20):
            ledger = seal("busan", ledger, parts, 6000, WINDOW_S)
        self.assertEqual(len(ledger.unreported), 64)
        counts = tuple(PartCount(f"account-{n}", 1, 5) for n in range(5000))
        parts = [msgspec.structs.replace(p, counts=counts) for p in parts[:20]]
        ledger = seal("busan", Ledger(), parts, 6000, WINDOW_S)
        self.assertLess(len(msgspec.json.encode(ledger)), 1_000_000)

    def test_parts_of_dropped_epochs_count_as_sealed(self):
        """Otherwise old parts are counted again once their marks are gone."""
        ledger = Ledger()
        for epoch in range(1, 20):
            parts = [part(1, 60 * epoch, epoch=epoch)]
            done = frozenset(r.window for r in ledger.unreported)
            ledger = seal("busan", ledger, parts, 60 * epoch, WINDOW_S, done)
        self.assertEqual(len(ledger.marks), 8)
        self.assertIn(part(1, 60, epoch=1), SealedParts(ledger))
        self.assertNotIn(part(2, 60, epoch=19), SealedParts(ledger))


class CountersTest(unittest.TestCase):
    """Guards against usage that is lost, and parts that are kept too long."""

    def test_peers_keep_copies_until_parts_are_sealed(self):
        live = {"b": 1, "c": 1, "d": 1}
        a, b = UsageCounters("a", 1, WINDOW_S), UsageCounters("b", 1, WINDOW_S)
        a.add("yard", 5, 61.0)
        usage = a.tick(live)
        self.assertEqual(list(usage), ["b", "c"])
        b.keep_copies("a", usage["b"].parts)
        reply = b.tick({"a": 1})["a"]
        a.on_copies_acknowledged("b", 1, reply.acked_epoch, reply.acked_number)
        self.assertEqual(a.unkept_requests, 0)
        self.assertEqual(list(a.tick(live)), ["c"])
        self.assertFalse(b.orphaned_parts({"a": 1}))
        self.assertEqual(b.orphaned_parts({"a": 2}), list(usage["b"].parts))
        ledger = seal("busan", Ledger(), usage["b"].parts, 60, WINDOW_S)
        for counters in (a, b):
            counters.drop_sealed(SealedParts(ledger))
        self.assertEqual((a.unsealed_count, b.copy_count), (0, 0))

    def test_parts_are_cut_less_often_as_the_backlog_grows(self):
        """Otherwise an hour without the platform leaves 3600 parts."""
        counters = UsageCounters("a", 1, WINDOW_S)
        for second in range(3600):
            counters.add("yard", 5, float(second))
            counters.tick({})
        self.assertLess(counters.unsealed_count, 800)
