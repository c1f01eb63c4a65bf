-- A balancer and an agent resume after a pause of a minute. They detect the
-- pause and query their peers before they suspect a member, so they declare no
-- live member dead.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
run(3000)
pause("balancer-1", 60000)
pause("orders-2", 60000)
run(30000)
expect("live_held_left", ">=", 2 * 12)
local dead_before = figure("members_declared_dead", "balancer-1")
	+ figure("members_declared_dead", "orders-2")
apply()
run(29900)
expect("pauses_detected", "==", 0)
run(1000)
expect("pauses_detected", "==", 2)
expect("stale", "==", 0)
expect("lagging", "==", 0)
run(5000)
expect("live_held_left", "==", 0)
expect("live_held_suspect", "==", 0)
run(20000)
expect("declared dead by resumed processes", "==", dead_before,
	figure("members_declared_dead", "balancer-1")
	+ figure("members_declared_dead", "orders-2"))
expect("reverts", "==", 0)
-- A balancer resumes in a network partition: it declares no member dead before
-- it had time to query its peers.
cut("balancer-1", 1)
for i = 1, 7 do
	cut("orders-" .. i, 2)
end
for i = 2, 4 do
	cut("balancer-" .. i, 2)
	cut("assessing-" .. i - 1, 2)
end
pause("balancer-1", 60000)
dead_before = figure("members_declared_dead", "balancer-1")
run(60100)
expect("stale", "==", 1)
run(5000)
expect("declared dead by resumed processes", "==", dead_before,
	figure("members_declared_dead", "balancer-1"))
cut("balancer-1", 0)
run(20000)
expect("live_held_left", "==", 0)
-- A zone goes out of service while one of its agents and all balancers but one
-- are paused. All resume together: packets that the balancers send by their old
-- views do not reach the backend server of that agent.
load{ service = "orders", connections = 400, over_ms = 1000, lines = 400, gap_ms = 50 }
run(3000)
expect("new connections at orders-1", ">=", 1,
	figure("flows_opened", "orders-1"))
pause("orders-1", 20000)
cut_platform("orders-1", true)
for i = 2, 4 do
	cut_platform("balancer-" .. i, true)
	pause("balancer-" .. i, 20000)
end
run(1000)
zone("tas-a", "out")
apply()
network{ delay_min_ms = 30, delay_max_ms = 40 }
run(18990)
load{ service = "orders", connections = 1000, over_ms = 60 }
local delivered = figure("packets_delivered_to_server", "orders-1")
run(20000)
expect("packets delivered after resuming", "==", delivered,
	figure("packets_delivered_to_server", "orders-1"))
