"""Cases against the decisions, a table for each part."""

from __future__ import annotations

import unittest

from tests.server import KINDS, Server, actions, facts

Act, Outcome = actions, facts.Outcome


class OrdinaryPath(unittest.TestCase):
    def test_share_and_lending(self) -> None:
        """Four cores: one key's share is one op while others' ops are held; spare slots are lent."""
        cases = [
            ("alone, a key runs on all cores", [0] * 6, [0, 1, 2, 3]),
            ("another's op goes before over-share ops", [0, 0, 0, 0, 1], [0, 1, 2, 4]),
            ("spare slots are lent to the oldest", [0, 0, 0, 1, 1], [0, 1, 2, 3]),
            ("shares first, then the oldest", [0, 0, 0, 0, 0, 1, 2], [0, 1, 5, 6]),
        ]
        for name, callers, started in cases:
            with self.subTest(name):
                server = Server()
                for id, caller in enumerate(callers):
                    server.op(id, caller=caller)
                server.settle()
                self.assertEqual(sorted(server.ids(Act.Run)), started)

    def test_importance_goes_first_only_under_pressure(self) -> None:
        for pressed, started in [(False, [0, 1, 2, 3]), (True, [0, 1, 4, 5])]:
            with self.subTest(pressed=pressed):
                server = Server()
                server.yoke.hold.pressed = pressed
                for id, kind in enumerate([2, 2, 0, 0, 2, 2]):
                    server.now += 0.001
                    server.op(id, type=kind)
                server.settle()
                self.assertEqual(sorted(server.ids(Act.Run)), started)

    def test_unread_backlog_is_pressure(self) -> None:
        """A server that reads too late holds nothing, and must not look idle for it."""
        server = Server(callers={"signal": facts.Signal.ALLOWANCE})
        server.learned(0.5)
        said = []
        for id in range(60):
            server.op(id, unread=1.9)
            server.settle()
            said += [did.value for did in server.beat() if isinstance(did, Act.Say)]
        self.assertLess(said[-1], said[0] / 2)

    def test_patience_bounds_the_target(self) -> None:
        server = Server()
        server.learned(0.5)
        server.op(1, left=0.4)
        server.op(2, left=0.6)
        server.settle()
        self.assertEqual((server.ids(Act.Nack), server.ids(Act.Run)), ([1], [2]))

    def test_in_a_storm_of_tries_nacks_are_taken_nowhere_else(self) -> None:
        """Told from the marks of further tries, or without marks from misses after a wait."""
        cases = [
            ("first tries, marked where further", True, {}, False),
            ("further tries", True, {"further": True}, True),
            ("no marks, all miss after a wait", False, {"left": 0.2, "unread": 1.9}, True),
            ("no marks, too long though nothing waits", False, {"left": 0.2}, False),
        ]
        for name, marks, given, nowhere_else in cases:
            with self.subTest(name):
                server = Server(callers={"marks_further": marks})
                server.learned(0.5)
                server.op(98)
                server.settle()
                for id in range(60):
                    server.op(id, **given)
                server.op(99, left=0.2)
                server.settle()
                self.assertEqual([did.nowhere_else for did in server.did if did.id == 99], [nowhere_else])

    def test_tenant_is_the_key_where_told(self) -> None:
        server = Server(tenants=(facts.Tenant(0.5, 10.0), facts.Tenant(0.5, 10.0)))
        for id in range(5):
            server.op(id, caller=id, tenant=int(id == 4))
        server.settle()
        self.assertEqual(sorted(server.ids(Act.Run)), [0, 1, 2, 4])

    def test_predicted_miss_is_nacked_on_arrival(self) -> None:
        """Runs take a second and the target is two: what cannot make it is turned away at once."""
        for name, took, nacked in [("no history", None, []), ("short runs", 0.1, []), ("long", 1.0, [8, 9])]:
            with self.subTest(name):
                server = Server()
                if took:
                    server.learned(took)
                for id in range(10):
                    server.op(id)
                server.settle()
                self.assertEqual(server.ids(Act.Nack)[-2:], nacked)

    def test_no_line_is_longer_than_equally_important_ops_stand(self) -> None:
        """Type 0 could wait four seconds; type 1 matters as much and has a target of two. A type that this
        machine can't do at all does not count."""
        for importance, took, nacked in [(1.0, 0.5, [99]), (2.0, 0.5, []), (1.0, 2.5, [])]:
            with self.subTest(importance=importance, took=took):
                long = KINDS[0]._replace(target=5.0)
                server = Server(op_types=(long, KINDS[0]._replace(importance=importance)))
                server.learned(0.5, 0)
                server.learned(took, 1)
                server.beat()
                for id in [*range(16), 99]:
                    server.op(id)
                    server.settle()
                self.assertEqual(server.ids(Act.Nack), nacked)

    def test_cores_on_which_nothing_ends_look_full(self) -> None:
        server = Server()
        server.learned(0.1)
        for id in range(4):
            server.op(id)
        server.settle()
        for later, nacked in [(0.5, []), (4.0, [9])]:
            server.now += later
            server.op(9)
            server.settle()
            self.assertEqual(server.ids(Act.Nack), nacked)
            server.yoke.gone(server.now, 9)

    def test_what_is_refused_while_nothing_runs_is_tried_in_the_end(self) -> None:
        """Run times learned in a bad moment must not refuse everything for ever."""
        server = Server()
        server.learned(3.0)
        for id in range(40):
            server.op(id)
            server.settle()
            if server.ids(Act.Run):
                break
        self.assertIn(id, range(5, 15))

    def test_stale_held_ops_are_answered_at_once(self) -> None:
        server = Server()
        for id in range(5):
            server.op(id)
        server.settle()
        server.beat(later=2.1)
        self.assertEqual(server.ids(Act.Nack), [4])


class Limits(unittest.TestCase):
    def limit(self, busy: float, ops: int, **changed: object) -> int:
        server = Server(**changed)
        for id in range(ops):
            server.op(id)
        server.settle()
        for _ in range(20):
            server.beat(busy=busy)
        return server.yoke.on_core

    def test_growth_and_ceilings(self) -> None:
        cases = [
            ("full cores: it stays", 1.0, {}, 4, 4),
            ("idle cores: it grows", 0.5, {}, 12, 16),
            ("busy lags, no core is idle", 0.5, {"machine": {"gauges": ("busy", "runnable")}}, 4, 4),
            ("a cold server survives fewer", 0.5, {"survival": {"cold": True}}, 5, 9),
            ("memory for 40 held and six runs", 0.5, {"machine": {"memory": 640.0}}, 6, 6),
        ]
        for name, busy, changed, least, most in cases:
            with self.subTest(name):
                ran = self.limit(busy, 40, **changed)
                self.assertGreaterEqual(ran, least)
                self.assertLessEqual(ran, most)


class Rules(unittest.TestCase):
    def test_every_op_is_answered_by_its_due_time(self) -> None:
        """Held, running, at a call, calling, reusing: all get one final answer in time."""
        server = Server(callers={"signal": facts.Signal.NOTHING})
        for id in range(5):
            server.op(id, left=1.0)
        server.op(5, type=1, left=0.9)
        server.op(6, type=1, left=0.9, repeats=99)
        server.settle()
        server.yoke.blocked(server.now, 0)
        server.yoke.blocked(server.now, 1)
        server.settle()
        answers = []
        for _ in range(16):
            server.beat()
            answers += server.ids(Act.Nack) + server.ids(Act.Fail)
        self.assertEqual(sorted(answers), list(range(7)))

    def test_extreme_settings_break_no_rule(self) -> None:
        """Each op gets one final answer in time, and calls stay under this server's part."""
        shared = facts.Dependency(facts.Below.SHARED, 0.05, 5.0, 0.2)
        gauges = ("busy", "runnable", "memory", "connections")
        cases = {
            "one core, no callers told": {"machine": {"cores": 1, "gauges": gauges}, "callers": {"count": 0}},
            "hundreds of callers, no idle span": {"callers": {"count": 900, "idle": 0.0}},
            "allowance, hundreds": {"callers": {"count": 900, "signal": facts.Signal.ALLOWANCE}},
            "weight, no callers": {"callers": {"count": 0, "signal": facts.Signal.WEIGHT}},
            "a small part of the calls": {"dependency": shared},
            "none of the calls": {"dependency": shared._replace(fair_calls=0.0)},
        }
        for name, changed in cases.items():
            with self.subTest(name):
                server, answered, called = Server(**changed), [], 0
                for id in range(30):
                    server.op(id, type=id % 4, caller=id, left=1.0)
                for _ in range(18):
                    server.now += 0.06
                    server.yoke.woke(server.now, 0, (0.5, 1, 0.1, 500))
                    server.settle()
                    answered += server.ids(Act.Nack) + server.ids(Act.Fail)
                    called += len(server.ids(Act.Call))
                    for id in server.ids(Act.Run):
                        server.yoke.blocked(server.now, id)
                    called += sum(isinstance(did, Act.Call) for did in server.settle())
                    answered += server.ids(Act.Nack) + server.ids(Act.Fail)
                self.assertEqual(sorted(answered), list(range(30)))
                self.assertLessEqual(called, 1 if "calls" in name else 30)

    def test_repeats(self) -> None:
        server = Server()
        server.op(1, type=1)
        server.op(2, type=1, repeats=1)
        server.op(3, type=1, repeats=77)
        server.settle()
        self.assertEqual((server.ids(Act.Keep), server.ids(Act.Run)), ([1], [1]))
        self.assertEqual(server.ids(Act.Reuse), [2, 3])
        self.assertEqual(server.ids(Act.Nack), [])

    def test_keys_leave_with_their_window(self) -> None:
        server = Server()
        server.op(1, type=1)
        server.settle()
        server.end(1)
        for later, kept in [(9.0, 1), (2.0, 0)]:
            server.beat(later=later)
            self.assertEqual(len(server.yoke.keys), kept)

    def test_memory(self) -> None:
        """Short of memory, the least important and youngest held op goes first; a key needs room."""
        for kinds, nacked in [([0, 0] + [2] * 9, [1, 0]), ([1] * 7, [6])]:
            with self.subTest(kinds=kinds):
                server = Server(machine={"memory": 100.0})
                for id, kind in enumerate(kinds):
                    server.now += 0.001
                    server.op(id, type=kind)
                server.settle()
                self.assertEqual(server.ids(Act.Nack), nacked)

    def test_a_wanted_answer_stands(self) -> None:
        """An answer due and a failed call in one batch: the answer is given, the op does not go on."""
        server = Server()
        server.op(0, type=3, left=1.0)
        server.settle()
        server.yoke.blocked(server.now, 0)
        server.settle()
        server.yoke.jobs[0].tries = 9
        server.now += 0.95
        server.yoke.woke(server.now, 0, ())
        server.yoke.called(server.now, 0, Outcome.ERROR, 0.9)
        server.settle()
        self.assertEqual((server.ids(Act.Fail), server.ids(Act.GoOn)), ([0], []))

    def test_what_has_to_wait_needs_a_margin(self) -> None:
        for spread, ahead, nacked in [(0.0, 10, []), (0.8, 10, [99]), (9.0, 0, [])]:
            with self.subTest(spread=spread, ahead=ahead):
                server = Server()
                server.yoke.pace.runs[0] = [0.5, 0.0, 0.0, 0.0, 1.0]
                for id in range(ahead):
                    server.op(id)
                server.settle()
                server.yoke.pace.runs[0] = [0.5, 0.0, spread, 0.0, 1.0]
                server.op(99)
                server.settle()
                self.assertEqual(server.ids(Act.Nack), nacked)

    def test_drain(self) -> None:
        server = Server()
        server.op(1)
        server.settle()
        server.yoke.leave(server.now, 5.0)
        server.settle()
        self.assertIn(Act.Health(True, False), server.did)
        for later, unread, nacked in [(1.9, 0.0, []), (0.3, 0.3, []), (0.1, 0.0, [4])]:
            server.now += later
            server.op(len(nacked) + 2 + int(later < 1), unread=unread)
            server.settle()
            self.assertEqual(server.ids(Act.Nack), nacked or [])
        answers = server.ids(Act.Nack)
        while server.now < 104.95:
            server.beat()
            answers += server.ids(Act.Nack) + server.ids(Act.Fail)
        self.assertEqual(server.yoke.jobs.keys() - {id for id in answers}, set())

    def test_a_repeat_at_the_very_end_is_answered_at_once(self) -> None:
        for left, then in [(5.0, Act.Reuse), (0.1, Act.Fail)]:
            server = Server()
            server.yoke.leave(server.now, left)
            server.op(1, type=1, repeats=77)
            server.settle()
            self.assertEqual(server.ids(then), [1])

    def test_the_key_of_a_held_op_goes_with_its_caller(self) -> None:
        """Its repeats would be answered by an op that never ran; that of a started op stays."""
        for held, forgotten in [(True, [9]), (False, [])]:
            server = Server()
            for id in range(4 * held):
                server.op(id)
            server.op(9, type=1)
            server.settle()
            server.yoke.gone(server.now, 9)
            server.settle()
            self.assertEqual(server.ids(Act.Forget), forgotten)

    def test_answered_run_keeps_its_core(self) -> None:
        server = Server()
        server.op(1, left=0.05)
        server.settle()
        server.beat()
        self.assertEqual((server.ids(Act.Fail), server.yoke.on_core), ([1], 1))
        server.end(1)
        self.assertEqual((server.yoke.on_core, server.yoke.memory), (0, 0.0))


    def test_a_run_for_nobody_frees_its_core_where_it_can(self) -> None:
        for kind, halt, stopped in [(0, "PAUSE", [1]), (0, "NOTHING", []), (1, "PAUSE", [])]:
            with self.subTest(kind=kind, halt=halt):
                server = Server(machine={"halt": facts.Halt[halt]})
                server.op(1, type=kind, left=0.05)
                server.settle()
                server.beat()
                self.assertEqual((server.ids(Act.Pause), server.ids(Act.Fail)), (stopped, [1]))


class CallsBelow(unittest.TestCase):
    def blocked(self, server: Server, *types: int) -> None:
        for id, type in enumerate(types):
            server.op(id, type=type)
        server.settle()
        for id in range(len(types)):
            server.yoke.blocked(server.now, id)
        server.settle()

    def test_bound(self) -> None:
        dependency = facts.Dependency(facts.Below.SHARED, 3.0, 5.0, 0.2)
        server = Server(dependency=dependency)
        self.blocked(server, 0, 0, 0, 0)
        self.assertEqual(server.ids(Act.Call), [0, 1])
        server.yoke.called(server.now, 0, Outcome.TIMEOUT, 1.0)  # abandoned: it lingers
        self.assertEqual((server.settle(), server.beat(later=0.3) and server.ids(Act.Call)), ([], [2]))

    def test_slow_calls_go_by_importance(self) -> None:
        for recent, first in [(0.1, 0), (1.0, 2)]:
            with self.subTest(recent=recent):
                server = Server(dependency=facts.Dependency(facts.Below.SHARED, 1.2, 5.0, 0.2))
                server.yoke.calls.usual, server.yoke.calls.recent = 0.1, recent
                self.blocked(server, 0, 0, 2)
                self.assertEqual(server.ids(Act.Call), [first])

    def test_failed_calls(self) -> None:
        """What is not retryable repeats a call only after proof that it never ran."""
        cases = [
            (0, Outcome.ERROR, Act.Call),
            (2, Outcome.ERROR, Act.Fail),
            (2, Outcome.FULL, Act.Call),
            (1, Outcome.CUT, Act.Fail),
            (1, Outcome.UNREACHED, Act.Call),
        ]
        for kind, outcome, then in cases:
            with self.subTest(kind=kind, outcome=outcome):
                server = Server()
                self.blocked(server, kind)
                server.yoke.called(server.now, 0, outcome, 0.01)
                did = server.settle() + server.beat(later=0.25)
                self.assertEqual([type(act) for act in did if isinstance(act, Act.Call | Act.Fail)], [then])

    def test_calls_that_hang_are_seen_before_they_end(self) -> None:
        """What hangs on its call is then nacked before it runs; what can go on without it is not refused."""
        for kind, nacked in [(1, [9]), (3, [])]:
            with self.subTest(kind=kind):
                server = Server(dependency=facts.Dependency(facts.Below.SHARED, 3.0, 5.0, 0.2))
                server.learned(0.1, kind)
                self.blocked(server, 0, 0)
                server.yoke.called(server.now, 0, Outcome.OK, 0.02)
                for _ in range(40):
                    server.beat()
                server.op(9, type=kind)
                server.settle()
                self.assertEqual(server.ids(Act.Nack), nacked)

    def test_while_calls_are_slow_an_op_is_judged_by_as_many_waits_as_it_makes_calls(self) -> None:
        for legs, nacked in [(1.0, []), (4.0, [9])]:
            with self.subTest(legs=legs):
                server = Server()
                server.yoke.pace.runs[0] = [0.1, 0.1, 0.0, 0.0, legs]
                server.yoke.calls.usual, server.yoke.calls.recent = 0.1, 0.6
                server.op(9)
                server.settle()
                self.assertEqual(server.ids(Act.Nack), nacked)

    def test_crowded_calls_narrow_the_window_and_quick_ones_open_it(self) -> None:
        calls = Server(dependency=facts.Dependency(facts.Below.SHARED, 10.0, 5.0, 0.2)).yoke.calls
        for took, window in [(0.02, 8.5), (0.2, 1.0), (0.02, 8.5)]:
            for _ in range(100):
                calls.learn(0.0, took)
            self.assertAlmostEqual(calls.window, window, places=1)

    def test_a_call_that_never_comes_back_does_not_make_the_rest_slow(self) -> None:
        """One alone once had all ops nacked that make calls; where nothing comes back all are slow."""
        for others, slow in [(True, False), (False, True)]:
            with self.subTest(others=others):
                server = Server()
                self.blocked(server, 0)
                calls = server.yoke.calls
                for _ in range(20):
                    server.now += 0.05
                    if others or not calls.usual:
                        calls.learn(server.now, 0.02)
                    server.beat(0.05)
                self.assertEqual(calls.slow(), slow)

    def test_a_call_is_given_up_while_a_poorer_answer_is_in_time(self) -> None:
        for kind, until in [(0, 105.94), (3, 102.0)]:
            with self.subTest(kind=kind):
                server = Server()
                self.blocked(server, kind)
                self.assertAlmostEqual(server.did[-1].until, until)

    def test_poorer_answer(self) -> None:
        """A call that cannot pay is left out where an answer without it earns something."""
        for type, then in [(3, Act.GoOn), (0, Act.Call)]:
            server = Server()
            server.yoke.calls.usual = server.yoke.calls.recent = 3.0
            self.blocked(server, type)
            self.assertEqual(server.ids(then), [0])


class Told(unittest.TestCase):
    def test_idle_connections_are_closed_unless_few_or_in_a_crowd(self) -> None:
        """Gauges are cores busy, what wants a core, connections; the spans are those told last."""
        cases = [("few", 0, 40, None), ("many", 0, 200, 1.5), ("crowd", 60, 200, None)]
        for name, wanting, links, told in cases:
            with self.subTest(name):
                server = Server(machine={"gauges": ("busy", "runnable", "connections")})
                spans = []
                for _ in range(100):
                    server.now += 0.06
                    server.yoke.woke(server.now, 0, (0.5, wanting, links))
                    spans += [did.span for did in server.settle() if isinstance(did, Act.Trim)]
                self.assertEqual(spans[-1:], [told] if told else [])

    def test_time_unread_is_forgotten_once_nothing_is_read(self) -> None:
        for wanting, unread in [(0, 0.0), (3, 0.2)]:
            server = Server(machine={"gauges": ("busy", "runnable")})
            server.op(1, unread=1.0)
            server.yoke.woke(server.now, 0, (0.5, wanting))
            self.assertAlmostEqual(server.yoke.unread, unread)

    def test_floor_rises_under_pressure_and_falls_after(self) -> None:
        server = Server()
        server.learned(0.5)
        for id in range(20):
            server.op(id)
        server.settle()
        server.beat(later=0.5)
        self.assertGreater(server.yoke.voice.floor, 0.0)


if __name__ == "__main__":
    unittest.main()
