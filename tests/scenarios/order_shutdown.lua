-- Agents are drained and restarted one by one under load: no running order is
-- cut off, and no outcome is unknown.
gates{ agents = 4, slots = 6 }
run(8000)
orders{ count = 15000, per_s = 300, repeat_soon = 0.2, retry = 0.5,
	upload = 0.1 }
for i = 1, 4 do
	drain(i)
	run(6000)
	start(i)
	run(3000)
end
run(60000)
judge()
expect("shutdown_cut", "==", 0)
expect("unknown", "==", 0)
expect("run_twice", "==", 0)
expect("homes", "==", 4)
