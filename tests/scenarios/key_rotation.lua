-- Control keys are rotated process by process without an outage. Messages of a
-- process without a valid key are dropped and counted.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
local processes = { "balancer-1", "balancer-2", "balancer-3", "balancer-4",
	"assessing-1", "assessing-2", "assessing-3" }
for i = 1, 7 do
	processes[#processes + 1] = "orders-" .. i
end
keys(1)
run(3000)
load{ service = "orders", connections = 500, over_ms = 20000 }
for _, step in ipairs{ { 1, 2 }, { 2, 1 }, { 2 } } do
	for _, process in ipairs(processes) do
		keys(process, table.unpack(step))
		run(300)
	end
	apply()
	run(4000)
	expect("lagging", "==", 0)
end
expect("control_drop_bad_tag", "==", 0)
expect("members_declared_dead", "==", 0)
expect("broken", "==", 0)
keys("balancer-4", 3)
run(15000)
expect("control_drop_bad_tag", ">=", 1)
expect("dead_not_left", "==", 0)
keys("balancer-4", 2)
run(10000)
expect("live_held_left", "==", 0)
expect("finished", "==", 500)
expect("broken", "==", 0)
