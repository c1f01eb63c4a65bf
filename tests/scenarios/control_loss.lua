-- 30% of the control messages are lost, others are duplicated and delayed.
-- Processes are falsely suspected and refute it, no connection breaks, and
-- releases still reach every process.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
run(6000)
expect("unknown_members", "==", 0)
network{ control_loss = 0.3, control_double = 0.1, delay_min_ms = 1,
	delay_max_ms = 40 }
load{ service = "orders", connections = 600, over_ms = 30000, lines = 20 }
load{ service = "assessing", connections = 300, over_ms = 30000, lines = 20 }
for i = 1, 6 do
	apply()
	run(4000)
	expect("lagging", "==", 0)
end
run(40000)
expect("members_suspected", ">=", 1)
expect("suspicions_refuted", ">=", 1)
expect("control_drop_replayed", ">=", 1)
network{ control_loss = 0, control_double = 0 }
run(10000)
expect("live_held_suspect", "==", 0)
expect("live_held_left", "==", 0)
expect("finished", "==", 900)
expect("broken", "==", 0)
expect("wrong_service_packets", "==", 0)
expect("reverts", "==", 0)
