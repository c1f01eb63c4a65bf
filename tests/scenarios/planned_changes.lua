-- Backend servers join, drain and restart, balancers and agents are replaced
-- and releases are applied, all overlapping, while views differ by up to 3 s
-- and the network loses, duplicates and reorders packets. No connection breaks.
deploy{
	zones = { "inverness-a", "inverness-b", "elgin", "nairn" },
	balancers = 4,
	services = {
		{ name = "shopfront", servers = 7 },
		{ name = "sortdesk", servers = 4 },
	},
}
for i = 1, 4 do
	lag("balancer-" .. i, i * 750)
end
lag("shopfront-2", 3000)
lag("sortdesk-1", 2000)
run(5000)
network{ data_loss = 0.01, data_double = 0.01, delay_min_ms = 1,
	delay_max_ms = 20 }
load{ service = "shopfront", connections = 1500, over_ms = 20000 }
load{ service = "sortdesk", connections = 700, over_ms = 20000 }
run(5000)
add_server("shopfront")
drain("shopfront-1")
run(1500)
kill("balancer-1")
add_balancer()
apply()
run(1500)
replace("shopfront-7")
replace("sortdesk-1")
add_server("sortdesk")
run(1500)
drain("sortdesk-2")
apply()
run(25000)
kill("shopfront-1")
restart_server("shopfront-1", 3000)
start("shopfront-1")
run(20000)
expect("finished", "==", 2200)
expect("broken", "==", 0)
expect("refused", "==", 0)
expect("wrong_service_packets", "==", 0)
expect("cold_over_limit", "==", 0)
expect("drain_last_ms", "<=", 3000)
