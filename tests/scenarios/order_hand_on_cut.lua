-- All orders arrive at one agent, which forwards them. Every step of the
-- forwarding is interrupted by lost, duplicated and late messages and by killed
-- agents.
gates{ agents = 5, slots = 2 }
run(8000)
faults{ loss = 0.05, message_doubled = 0.05, slow = 0.05, slow_ms = 800,
	kill_every_ms = 5000, away_ms = 1000 }
orders{ count = 12000, per_s = 200, spread = 1, repeat_soon = 0.2,
	repeat_late = 0.1, retry = 0.7, cancel = 0.05, idempotent = 0.1 }
run(60000)
faults{}
run(70000)
judge()
expect("orders_handed_on", ">=", 500)
expect("run_twice", "==", 0)
expect("not_run_but_run", "==", 0)
expect("wrong_answers", "==", 0)
expect("told_twice", "==", 0)
expect("never_told", "==", 0)
expect("slots_exceeded", "==", 0)
