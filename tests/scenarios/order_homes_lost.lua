-- Pairs of homes are killed while the platform is down, and callers repeat
-- orders after the loss: an outcome that can't be determined is reported as
-- unknown, and no order runs twice.
gates{ agents = 7, slots = 5 }
run(8000)
expect("homes", "==", 7)
orders{ count = 10000, per_s = 300, repeat_late = 0.5,
	repeat_late_ms = 10000, retry = 0.5 }
run(3000)
faults{ platform_down = 1 }
kill(1)
kill(2)
run(500)
start(1)
start(2)
run(5000)
kill(3)
kill(4)
run(500)
faults{}
start(3)
start(4)
run(100000)
judge()
expect("told_unknown", ">=", 1)
expect("run_twice", "==", 0)
expect("not_run_but_run", "==", 0)
expect("told_twice", "==", 0)
expect("never_told", "==", 0)
