-- Servers of one service die and servers of the other start at their
-- addresses while balancers still route by older views. No packet reaches a
-- server of the wrong service, and no caller gets a response from one.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 3,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
lag("balancer-1", 3000)
lag("balancer-2", 1500)
run(5000)
network{ data_loss = 0.01, data_double = 0.01, delay_min_ms = 1,
	delay_max_ms = 10 }
load{ service = "orders", connections = 600, over_ms = 12000 }
load{ service = "assessing", connections = 300, over_ms = 12000 }
run(4000)
reuse("orders-3", "assessing")
run(2000)
reuse("assessing-1", "orders")
run(60000)
expect("stray_handed_on", ">=", 1)
expect("wrong_service_packets", "==", 0)
expect("wrong_answers", "==", 0)
expect("open", "==", 0)
expect("refused", "==", 0)
