"""Retained results by idempotency key."""

from __future__ import annotations

import unittest

from thymeyoke.server.idempotency import IdempotencyCache, Result


class IdempotencyCacheTest(unittest.TestCase):
    def test_retry_is_matched_by_its_arrival_time(self) -> None:
        """A retry may be read late, so entries are kept for a while after their expiry."""
        cache = IdempotencyCache(max_queueing_delay=3.0)
        cache.retain("a", (1, "k"), expires_at=20.0)
        cache.complete("a", Result(b"r", 11.0))
        self.assertEqual([cache.find((1, "k"), at) for at in (12.0, 20.0, 20.1)], ["a", "a", None])
        self.assertEqual([cache.find(key, 12.0) for key in ((0, "k"), (1, "other"))], [None, None])
        cache.purge(22.9)
        self.assertEqual(cache.find((1, "k"), 19.0), "a")
        cache.purge(24.0)
        self.assertEqual((cache.by_key, cache.by_id), ({}, {}))

    def test_results_and_waiting_retries(self) -> None:
        cache = IdempotencyCache(1.0)
        cache.retain("a", (1, "k"), 20.0)
        self.assertIsNone(cache.result_for("b", "a"))
        self.assertIsNone(cache.result_for("c", "a"))
        self.assertEqual(cache.complete("a", Result(b"r", 11.0)), ["b", "c"])
        self.assertEqual(cache.result_for("d", "a"), Result(b"r", 11.0))
        self.assertEqual(cache.result_for("e", "unknown").body, None)
        self.assertEqual(cache.complete("unknown", Result(None, 11.0)), [])

    def test_newer_request_takes_over_the_key(self) -> None:
        cache = IdempotencyCache(1.0)
        cache.retain("a", (1, "k"), 20.0)
        cache.result_for("waits", "a")
        cache.retain("b", (1, "k"), 25.0)
        self.assertEqual(cache.find((1, "k"), 12.0), "b")
        self.assertEqual(cache.release("a"), ["waits"])
        self.assertEqual(cache.find((1, "k"), 12.0), "b")
        self.assertEqual((cache.release("b"), cache.find((1, "k"), 12.0)), ([], None))

    def test_running_request_is_kept_past_its_expiry(self) -> None:
        cache = IdempotencyCache(1.0)
        cache.retain("a", (1, "k"), 20.0)
        cache.result_for("b", "a")
        cache.purge(30.0)
        self.assertIsNone(cache.find((1, "k"), 19.0))
        self.assertEqual(cache.complete("a", Result(b"r", 31.0)), ["b"])
        cache.purge(40.0)
        self.assertEqual(cache.by_id, {})

    def test_fresh_result_answers_other_reads(self) -> None:
        cache = IdempotencyCache(1.0)
        cache.retain("a", (0, "s"), 90.0, freshness=2.0)
        self.assertEqual(cache.find((0, "s"), 50.0), "a")
        cache.complete("a", Result(b"r", 51.0))
        self.assertEqual([cache.find((0, "s"), at) for at in (53.0, 53.1)], ["a", None])
        cache.retain("b", (0, "t"), 90.0, freshness=2.0)
        cache.complete("b", Result(None, 51.0))
        self.assertIsNone(cache.find((0, "t"), 51.0))


if __name__ == "__main__":
    unittest.main()
