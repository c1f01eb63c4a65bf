-- All processes of a zone and those of a rack of another zone die at once.
-- Only they leave the roster, and control traffic stays within its budget.
deploy{
	zones = { "z1", "z2", "z3" },
	balancers = 3,
	services = { { name = "orders", servers = 30 } },
}
run(20000)
expect("unknown_members", "==", 0)
meter()
for i = 1, 30, 3 do
	kill("orders-" .. i)
end
kill("balancer-1")
for i = 2, 11, 3 do
	kill("orders-" .. i)
end
run(25000)
expect("zone_losses_reported", ">=", 1)
expect("dead_not_left", "==", 0)
expect("live_held_left", "==", 0)
expect("balancer_peak_bytes", "<=", 3072)
for i = 1, 30, 3 do
	start("orders-" .. i)
end
run(15000)
expect("unknown_members", "==", 0)
expect("live_held_left", "==", 0)
expect("live_held_suspect", "==", 0)
