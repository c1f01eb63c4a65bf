-- Restores of the platform's store in series, at random moments, beside restarts,
-- partitions from the platform, lost responses and slow responses. The operator
-- writes again up to 1.5 s after the store returned. A zone that was out of
-- service stays out meanwhile; after that every process has what is acknowledged.
local APPLY_BOUND_MS = 4000
local ROSTER_BOUND_MS = 15000
local ROUNDS = 10

deploy{
	zones = { "tas-a", "tas-b", "tas-c" },
	balancers = 5,
	strong_reads = 1,
	services = {
		{ name = "orders", servers = 8 },
		{ name = "assessing", servers = 4 },
	},
}
network{ control_loss = 0.1, control_double = 0.05, delay_min_ms = 1,
	delay_max_ms = 20 }
run(8000)
-- Differs from seed to seed of the scenario.
math.randomseed(figure("trace"))

local zones = { "tas-a", "tas-b", "tas-c" }
-- Not balancer-1, which has no seeds: nobody tells it in time what it had before.
local processes = { "balancer-2", "balancer-3", "balancer-4", "orders-1",
	"orders-2", "orders-3", "assessing-1", "assessing-2" }
local release, zone_out = 1, nil

local function change()
	if math.random() < 0.6 then
		local ok, code = apply()
		expect("apply " .. code, "==", 1, ok and 1 or 0)
		release = release + 1
	end
	if zone_out and math.random() < 0.4 then
		order(zone_out, "in")
		zone_out = nil
	elseif not zone_out and math.random() < 0.6 then
		zone_out = zones[math.random(3)]
		order(zone_out, "out")
	end
end

local function write_again()
	-- Refused as stale when the store has not lost the release.
	apply(release)
	for _, zone in ipairs(zones) do
		if zone ~= zone_out then
			order(zone, "in")
		end
	end
	if zone_out then
		order(zone_out, "out")
	end
end

for round = 1, ROUNDS do
	local restart = math.random() < 0.5
	local name = processes[math.random(#processes)]
	local cut = processes[math.random(#processes)]

	platform{ backup = 1 }
	for _ = 1, math.random(0, 3) do
		change()
		run(math.random(50, 1500))
	end
	if math.random() < 0.3 then
		start(processes[math.random(#processes)])
	end
	run(APPLY_BOUND_MS)
	expect("wrong_zones", "==", 0)
	if math.random() < 0.3 then
		cut_platform(cut, true)
	end
	platform{ lose_answers = math.random(0, 2) }
	if math.random() < 0.8 then
		platform{ down = 1 }
		run(math.random(50, 6000))
	end
	platform{ restore = 1, down = 0, other_writes = math.random(0, 30),
		latency_ms = math.random() < 0.2 and 400 or 5 }
	if restart then
		start(name)
	end
	for _ = 1, math.random(0, 7) do
		run(200)
		if zone_out and not restart then
			expect("wrong_zones", "==", 0)
		end
	end
	write_again()
	run(math.random(0, 2000))
	change()
	platform{ latency_ms = 5, lose_answers = 0 }
	run(APPLY_BOUND_MS)
	expect("round " .. round .. " lagging", "==", 0, figure("lagging"))
	expect("wrong_zones", "==", 0)
	expect("reverts", "==", 0)
	expect("manifest_lost", "==", 0)
	cut_platform(cut, false)
	if round % 3 == 0 then
		run(ROSTER_BOUND_MS)
		expect("unstored_members", "==", 0)
	end
end
