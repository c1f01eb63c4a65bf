-- A network partition separates a zone from the others for a minute, twice.
-- After each, all members are live in all rosters again.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
local zone_a = { "balancer-1", "balancer-4", "orders-1", "orders-4", "orders-7",
	"assessing-1" }
run(3000)
for round = 1, 2 do
	for _, process in ipairs(zone_a) do
		cut(process, 1)
	end
	for i = 2, 3 do
		cut("balancer-" .. i, 2)
		cut("assessing-" .. i, 2)
	end
	for _, i in ipairs{ 2, 3, 5, 6 } do
		cut("orders-" .. i, 2)
	end
	run(60000)
	expect("live_held_left", ">=", 1)
	apply()
	run(4000)
	for _, process in ipairs(zone_a) do
		cut(process, 0)
	end
	for i = 1, 7 do
		cut("orders-" .. i, 0)
	end
	for i = 2, 3 do
		cut("balancer-" .. i, 0)
		cut("assessing-" .. i, 0)
	end
	run(20000)
	expect("live_held_left", "==", 0)
	expect("live_held_suspect", "==", 0)
	expect("unknown_members", "==", 0)
	expect("lagging", "==", 0)
end
expect("reverts", "==", 0)
