-- Only one process can reach the platform: each process in turn, so also ones
-- that were not chosen to watch it for the others. A release is still in force
-- everywhere within four seconds.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
network{ control_loss = 0.3, delay_min_ms = 1, delay_max_ms = 20 }
run(5000)
local names = { "balancer-1", "balancer-2", "balancer-3", "balancer-4",
	"assessing-1", "assessing-2", "assessing-3" }
for i = 1, 7 do
	table.insert(names, "orders-" .. i)
end
for only = 1, #names do
	for i, name in ipairs(names) do
		cut_platform(name, i ~= only)
	end
	run(15000)
	apply()
	run(4000)
	expect("only " .. names[only] .. ": lagging", "==", 0,
		figure("lagging"))
end
expect("lagging", "==", 0)
expect("reverts", "==", 0)
expect("manifest_lost", "==", 0)
expect("broken", "==", 0)
expect("wrong_service_packets", "==", 0)
