-- Forged, truncated and replayed control messages are dropped and counted.
-- They cause no false suspicion and break no connection.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
keys(1)
run(3000)
network{ control_forge = 0.3, control_truncate = 0.05, control_replay = 0.3,
	control_double = 0.1 }
load{ service = "orders", connections = 500, over_ms = 20000 }
apply()
run(4000)
expect("lagging", "==", 0)
run(40000)
expect("control_drop_bad_tag", ">=", 100)
expect("control_drop_replayed", ">=", 100)
expect("control_drop_malformed", "==", 0)
expect("members_declared_dead", "==", 0)
expect("finished", "==", 500)
expect("broken", "==", 0)
expect("reverts", "==", 0)
