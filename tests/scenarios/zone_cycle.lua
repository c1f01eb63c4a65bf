-- A zone goes out of service and returns with cold servers while half of the
-- control messages are lost. Only connections to servers of that zone break.
deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 3,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
lag("balancer-1", 3000)
run(5000)
network{ data_loss = 0.01, control_loss = 0.5, delay_min_ms = 1,
	delay_max_ms = 5 }
load{ service = "orders", connections = 800, over_ms = 15000 }
load{ service = "assessing", connections = 300, over_ms = 15000 }
run(6000)
zone("tas-a", "out")
apply()
run(10000)
expect("zone_out_last_ms", "<=", 3000)
for _, name in ipairs{ "orders-1", "orders-4", "orders-7", "assessing-1" } do
	restart_server(name, 5000)
end
expect("broken_elsewhere", "==", 0)
zone("tas-a", "in")
apply()
run(40000)
expect("open", "==", 0)
expect("refused", "==", 0)
expect("cold_over_limit", "==", 0)
expect("wrong_service_packets", "==", 0)
