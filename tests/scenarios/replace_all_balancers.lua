-- New balancers replace all balancers one by one while the platform is down.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
run(3000)
load{ service = "orders", connections = 500, over_ms = 20000 }
platform{ down = 1 }
for i = 1, 4 do
	add_balancer()
	run(2000)
	kill("balancer-" .. i)
	run(2000)
end
expect("lagging", "==", 0)
run(20000)
expect("dead_not_left", "==", 0)
expect("unknown_members", "==", 0)
expect("finished", "==", 500)
expect("broken", "==", 0)
