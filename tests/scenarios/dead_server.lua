-- An agent and a balancer are killed: the agent gets no new connections after
-- a few seconds, and both leave the roster. Once restarted, both are members
-- again within seconds.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
run(3000)
load{ service = "orders", connections = 3000, over_ms = 40000, lines = 2 }
run(5000)
kill("orders-3")
kill("balancer-2")
run(12000)
expect("dead_work_ms", "<=", 4000)
expect("dead_not_left", "==", 0)
expect("live_held_left", "==", 0)
apply()
run(4000)
expect("lagging", "==", 0)
start("orders-3")
start("balancer-2")
run(3000)
expect("unknown_members", "==", 0)
expect("live_held_left", "==", 0)
expect("new connections at orders-3", ">=", 1, figure("flows_opened", "orders-3"))
-- The restarted agent is killed once more: again no new connections after a few
-- seconds.
kill("orders-3")
run(12000)
expect("dead_work_ms", "<=", 4000)
expect("dead_not_left", "==", 0)
