-- All balancers restart while the platform is down, first one by one and then
-- together: they get configuration and roster from their peers. After the
-- platform is back, balancers at new addresses replace all of them.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
network{ data_loss = 0.005, delay_min_ms = 1, delay_max_ms = 4 }
run(20000)
load{ service = "orders", connections = 200, over_ms = 60000, lines = 20,
	gap_ms = 1000 }
platform{ down = 1 }
run(5000)
for i = 1, 4 do
	start("balancer-" .. i)
	run(700)
end
run(5000)
expect("lagging", "==", 0)
expect("broken", "==", 0)
for i = 1, 4 do
	kill("balancer-" .. i)
end
for i = 1, 4 do
	start("balancer-" .. i)
end
run(5000)
expect("lagging", "==", 0)
expect("broken", "==", 0)
platform{ down = 0 }
run(30000)
-- No seed address is left: processes find each other through the roster on the
-- platform.
for i = 1, 4 do
	kill("balancer-" .. i)
end
for i = 1, 4 do
	add_balancer()
end
run(10000)
apply()
run(5000)
expect("lagging", "==", 0)
expect("reverts", "==", 0)
expect("manifest_lost", "==", 0)
expect("broken", "==", 0)
expect("wrong_service_packets", "==", 0)
run(60000)
expect("finished", "==", 200)
