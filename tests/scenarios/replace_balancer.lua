-- A balancer is killed and another joins while connections are open. None
-- breaks and none reaches the wrong service.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 3,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
network{ data_loss = 0.01, data_double = 0.01, delay_min_ms = 1,
	delay_max_ms = 5 }
run(2000)
expect("lagging", "==", 0)
load{ service = "orders", connections = 1000, over_ms = 8000 }
load{ service = "assessing", connections = 500, over_ms = 8000 }
run(3000)
kill("balancer-1")
add_balancer()
run(1000)
apply()
run(30000)
expect("lagging", "==", 0)
expect("finished", "==", 1500)
expect("broken", "==", 0)
expect("wrong_answers", "==", 0)
expect("wrong_service_packets", "==", 0)
expect("reverts", "==", 0)
