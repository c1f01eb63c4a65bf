-- The platform is down for ten minutes while balancers join and die. No
-- connection breaks, new balancers that reach a peer get the configuration, and
-- a release applied after the outage is in force everywhere within 4 s.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
network{ data_loss = 0.005, delay_min_ms = 1, delay_max_ms = 4 }
run(3000)
expect("lagging", "==", 0)
load{ service = "orders", connections = 300, over_ms = 600000, lines = 20,
	gap_ms = 1000 }
load{ service = "assessing", connections = 100, over_ms = 600000, lines = 20,
	gap_ms = 1000 }
platform{ down = 1 }
local ok, code = apply()
expect("refused during the outage", "==", 0, ok and 1 or 0)
for round = 1, 10 do
	run(20000)
	kill("balancer-" .. (round % 4 + 1))
	add_balancer()
	run(30000)
	start("balancer-" .. (round % 4 + 1))
	run(10000)
	expect("lagging", "==", 0)
end
platform{ down = 0 }
run(5000)
ok, code = apply()
expect("accepted", "==", 1, ok and 1 or 0)
run(4000)
expect("lagging", "==", 0)
expect("reverts", "==", 0)
expect("manifest_lost", "==", 0)
expect("broken", "==", 0)
expect("wrong_service_packets", "==", 0)
run(30000)
expect("finished", "==", 400)
