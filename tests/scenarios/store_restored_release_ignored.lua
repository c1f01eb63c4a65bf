-- The platform's store is down for a moment and returns from an older copy:
-- what it acknowledged since is lost, and its versions are assigned again. The
-- operator writes again what was lost. Releases and zone orders that are
-- acknowledged afterwards are in force everywhere within 3 s, none reverts, and
-- the roster's copy becomes complete again.
local APPLY_BOUND_MS = 3000
local ROSTER_BOUND_MS = 15000

deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 4,
	strong_reads = 1,
	services = {
		{ name = "orders", servers = 7 },
		{ name = "assessing", servers = 3 },
	},
}
network{ control_loss = 0.05, delay_min_ms = 1, delay_max_ms = 10 }
run(8000)
expect("unstored_members", "==", 0)

local release = 1
local function apply_next()
	local ok, code = apply()
	expect("apply " .. code, "==", 1, ok and 1 or 0)
	release = release + 1
end

local function apply_again()
	local ok, code = apply(release)
	expect("apply again " .. code, "==", 1, ok and 1 or 0)
end

local function check()
	expect("lagging", "==", 0)
	expect("wrong_zones", "==", 0)
	expect("reverts", "==", 0)
	expect("manifest_lost", "==", 0)
end

-- The versions after the restore end below, at or above those before it:
-- other users write `writes` times before the processes reach the store again.
local cases = {
	{ lost = 1, down_ms = 2000, writes = 0 },
	{ lost = 3, down_ms = 2000, writes = 0 },
	{ lost = 3, down_ms = 500, writes = 2 },
	{ lost = 1, down_ms = 2000, writes = 40 },
	{ lost = 2, down_ms = 0, writes = 40 },
	{ lost = 1, down_ms = 0, writes = 0 },
	{ lost = 0, down_ms = 2000, writes = 3 },
}

local zones = { "tas-a", "tas-b", "tas-c" }
for i, case in ipairs(cases) do
	local zone = zones[i % 3 + 1]

	platform{ backup = 1 }
	for _ = 1, case.lost do
		apply_next()
		run(1000)
	end
	order(zone, i % 2 == 0 and "in" or "out")
	start("orders-" .. i)
	run(4000)
	check()
	if case.down_ms > 0 then
		platform{ down = 1 }
		run(case.down_ms)
	end
	platform{ restore = 1, down = 0 }
	platform{ other_writes = case.writes }
	if case.lost > 0 then
		apply_again()
	end
	order(zone, i % 2 == 0 and "in" or "out")
	run(APPLY_BOUND_MS)
	check()
	apply_next()
	run(APPLY_BOUND_MS)
	check()
	order(zone, "out")
	run(APPLY_BOUND_MS)
	check()
	run(ROSTER_BOUND_MS)
	expect("unstored_members", "==", 0)
	order(zone, "in")
	run(APPLY_BOUND_MS)
	check()
end
