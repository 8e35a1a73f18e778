"""Retained results by idempotency key."""

from __future__ import annotations

import unittest

from thymeyoke.server.idempotency import IdempotencyCache, Result


class Retained(unittest.TestCase):
    def test_a_repeat_counts_by_when_it_reached_the_machine(self) -> None:
        """Read late, it is still one; entries outlive their span for that, and then go."""
        keys = IdempotencyCache(max_queueing_delay=3.0)
        keys.retain("a", (1, "k"), expires_at=20.0)
        keys.complete("a", Result(b"r", 11.0))
        self.assertEqual([keys.find((1, "k"), at) for at in (12.0, 20.0, 20.1)], ["a", "a", None])
        self.assertEqual([keys.find(key, 12.0) for key in ((0, "k"), (1, "other"))], [None, None])
        keys.purge(22.9)
        self.assertEqual(keys.find((1, "k"), 19.0), "a")
        keys.purge(24.0)
        self.assertEqual((keys.by_key, keys.by_id), ({}, {}))

    def test_results_and_waits(self) -> None:
        keys = IdempotencyCache(1.0)
        keys.retain("a", (1, "k"), 20.0)
        self.assertIsNone(keys.result_for("b", "a"))
        self.assertIsNone(keys.result_for("c", "a"))
        self.assertEqual(keys.complete("a", Result(b"r", 11.0)), ["b", "c"])
        self.assertEqual(keys.result_for("d", "a"), Result(b"r", 11.0))
        self.assertEqual(keys.result_for("e", "unknown").body, None)
        self.assertEqual(keys.complete("unknown", Result(None, 11.0)), [])

    def test_a_newer_op_takes_the_key_over(self) -> None:
        keys = IdempotencyCache(1.0)
        keys.retain("a", (1, "k"), 20.0)
        keys.result_for("waits", "a")
        keys.retain("b", (1, "k"), 25.0)
        self.assertEqual(keys.find((1, "k"), 12.0), "b")
        self.assertEqual(keys.release("a"), ["waits"])
        self.assertEqual(keys.find((1, "k"), 12.0), "b")
        self.assertEqual((keys.release("b"), keys.find((1, "k"), 12.0)), ([], None))

    def test_an_op_in_hand_outlives_its_span_until_its_end(self) -> None:
        keys = IdempotencyCache(1.0)
        keys.retain("a", (1, "k"), 20.0)
        keys.result_for("b", "a")
        keys.purge(30.0)
        self.assertIsNone(keys.find((1, "k"), 19.0))
        self.assertEqual(keys.complete("a", Result(b"r", 31.0)), ["b"])
        keys.purge(40.0)
        self.assertEqual(keys.by_id, {})

    def test_a_read_stands_for_others_while_fresh(self) -> None:
        keys = IdempotencyCache(1.0)
        keys.retain("a", (0, "s"), 90.0, freshness=2.0)
        self.assertEqual(keys.find((0, "s"), 50.0), "a")
        keys.complete("a", Result(b"r", 51.0))
        self.assertEqual([keys.find((0, "s"), at) for at in (53.0, 53.1)], ["a", None])
        keys.retain("b", (0, "t"), 90.0, freshness=2.0)
        keys.complete("b", Result(None, 51.0))
        self.assertIsNone(keys.find((0, "t"), 51.0))


if __name__ == "__main__":
    unittest.main()
