"""The model behind docs/CAPACITY.md: computes its rows from measured figures.

Every row names its source: `measured` with the figure's name, `derived` with
the formula, `stated` for numbers that the users gave, `assumed` otherwise.
"""

DAY_S = 86400
MIB = 1024 * 1024

# Stated by the users: the target size and the budgets of a process.
NODES = 16_000
TARGETS = 130_000
ADDRESSES = 56_000
OPEN = 620e6
NEW_PER_S = 750e3
REGIONS = 8
ZONES = 30
CHANGES_PER_DAY = 63_000
FAILURES_PER_DAY = 690
RESTARTS_PER_DAY = 13_000
CORE_SHARE = 0.014
MEMORY_MIB = 256
CONTROL_BYTES = 27 * 1024
EVERYWHERE_S = 4
PLATFORM_READS = 2000
PLATFORM_WRITES = 300
PLATFORM_VALUE = MIB

# Derived from the stated numbers.
MEMBERS = NODES + TARGETS
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
ROSTER_CHANGES_PER_S = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_S

# Assumed.
RACK_MEMBERS = 40
ENTRY_BYTES = 110
GOSSIP_COPIES = 3
CHANGE_BYTES = 200


class Figures:
    """Measured figures by name."""

    def __init__(self, rows):
        self.values = {row["name"]: row["value"] for row in rows}

    def get(self, name):
        if name not in self.values:
            raise SystemExit(f"no figure {name}: run make bench and copy its "
                             "JSON to docs/capacity.json")
        return self.values[name]

    def slope(self, series, sizes):
        """Fits a line by least squares: returns (intercept, slope)."""
        points = [(s, self.get(f"{series}_{s}")) for s in sizes]
        n = len(points)
        mean_x = sum(x for x, _ in points) / n
        mean_y = sum(y for _, y in points) / n
        slope = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
                 sum((x - mean_x) ** 2 for x, _ in points))
        return mean_y - slope * mean_x, slope

    def at(self, series, sizes, size):
        intercept, slope = self.slope(series, sizes)
        return intercept + slope * size


SERVICES = (500, 1000, 2000, 4000)
MEMBER_SIZES = (64, 256, 1024)


def number(value, digits=3):
    text = f"{value:,.{digits}g}" if abs(value) < 1000 else f"{value:,.0f}"
    return f"{float(text.replace(',', '')):,g}" if "e" in text else text


def target(_figures):
    rows = [
        ("members of the roster", number(MEMBERS),
         "derived: balancers + agents, one beside each target"),
        ("open connections of an agent, mean", number(OPEN / TARGETS),
         "derived: open / targets"),
        ("new connections of an agent", f"{number(NEW_PER_S / TARGETS)}/s",
         "derived: new / targets"),
        ("new connections through a balancer",
         f"{number(NEW_PER_S / NODES)}/s", "derived: new / nodes"),
        ("changes of configuration", f"{number(CHANGES_PER_S)}/s",
         "derived: changes a day / 86,400"),
        ("changes of the roster", f"{number(ROSTER_CHANGES_PER_S)}/s",
         "derived: (failures + restarts) a day / 86,400"),
        ("members of a zone", number(MEMBERS / ZONES),
         "derived: members / zones"),
        ("members of a region", number(MEMBERS / REGIONS),
         "derived: members / regions"),
        ("members of a rack", number(RACK_MEMBERS), "assumed"),
    ]
    return ("Quantity", "Value", "Source"), rows


def balancer_rows(figures):
    view_mib = figures.at("control_state_mib", SERVICES, TARGETS / 2)
    view_s = figures.at("view_build_ms", SERVICES, TARGETS / 2) / 1000
    busy = view_s * (CHANGES_PER_S + ROSTER_CHANGES_PER_S)
    parse_s = figures.at("manifest_parse_ms", SERVICES, ADDRESSES) / 1000
    route = figures.get("route_ns")
    return [
        ("balancer", "connection state", "0 B", "-",
         "by design: chains are computed, nothing is kept", "nothing",
         "rendezvous chains"),
        ("balancer", "time per packet", f"{number(route)} ns", "-",
         "measured: route_ns", "nothing", "bucket look-up"),
        ("balancer", "configuration, roster and chains",
         f"{number(view_mib)} MiB", f"{MEMORY_MIB} MiB",
         "derived: line through control_state_mib_500..4000 at targets / 2 "
         "services", "targets", "one row of members a bucket"),
        ("balancer", "a whole view", f"{number(view_s)} s of a core",
         f"{EVERYWHERE_S} s", "derived: line through view_build_ms_500..4000 "
         "at targets / 2 services", "targets", "chains of all services"),
        ("balancer", "views, one for each change",
         f"{number(busy * 100)}% of a core", f"{CORE_SHARE:.1%}",
         "derived: a whole view x changes/s of configuration and roster",
         "targets x changes", "none yet: see what breaks first"),
        ("balancer", "reading manifests",
         f"{number(parse_s * CHANGES_PER_S * 100)}% of a core",
         f"{CORE_SHARE:.1%}",
         "derived: line through manifest_parse_ms_500..4000 at the addresses "
         "x changes/s", "addresses x changes",
         "none yet: see what breaks first"),
    ]


def agent_rows(figures):
    flows = OPEN / TARGETS
    per_flow = figures.get("agent_bytes_per_flow")
    open_ns = figures.get("agent_open_ns")
    keys = figures.get("memory_per_key")
    return [
        ("agent", "connections", f"{number(flows * per_flow / MIB)} MiB",
         f"{MEMORY_MIB} MiB", "derived: agent_bytes_per_flow x open / "
         "targets", "connections of its server",
         "open addressing, bounded by admission"),
        ("agent", "opening connections",
         f"{number(open_ns * NEW_PER_S / TARGETS / 1e9 * 100)}% of a core",
         "-", "derived: agent_open_ns x new / targets",
         "new connections of its server", "one table insert"),
        ("agent", "order keys at 10 orders/s, one hour kept",
         f"{number(keys * 10 * 3600 * 2 / MIB)} MiB", f"{MEMORY_MIB} MiB",
         "derived: memory_per_key x 36,000 keys x 2 homes; rate and hour "
         "assumed", "orders x retention", "claims at rendezvous homes"),
    ]


def control_rows(figures):
    bytes_s = figures.at("membership_bytes_per_s", MEMBER_SIZES, MEMBERS)
    us_s = figures.at("membership_us_per_s", MEMBER_SIZES, MEMBERS)
    memory = figures.at("membership_memory", MEMBER_SIZES, MEMBERS) / MIB
    churn = (ROSTER_CHANGES_PER_S * 2 * ENTRY_BYTES * GOSSIP_COPIES +
             CHANGES_PER_S * CHANGE_BYTES * GOSSIP_COPIES)
    own = MEMBERS * CHANGES_PER_S
    return [
        ("any process", "probes and digests", f"{number(bytes_s)} B/s",
         f"{CONTROL_BYTES:,} B/s",
         "derived: line through membership_bytes_per_s_64..1024 at the "
         "members", "nothing", "SWIM probes, sums of the roster"),
        ("any process", "processor time of membership",
         f"{number(us_s / 1e4)}% of a core", f"{CORE_SHARE:.1%}",
         "derived: line through membership_us_per_s_64..1024 at the members",
         "members", "scan of the roster for each digest"),
        ("any process", "roster and detector", f"{number(memory)} MiB",
         f"{MEMORY_MIB} MiB",
         "derived: line through membership_memory_64..1024 at the members",
         "members", "one entry a member"),
        ("any process", "news of roster and configuration",
         f"{number(churn)} B/s", f"{CONTROL_BYTES:,} B/s",
         f"derived: (2 x roster changes/s x {ENTRY_BYTES} B + changes/s x "
         f"{CHANGE_BYTES} B as parts) x {GOSSIP_COPIES} copies; sizes and "
         "copies assumed", "changes", "piggy-backed gossip"),
        ("any process", "revisions of all others after each release",
         f"{number(own * 20)} B/s", f"{CONTROL_BYTES:,} B/s",
         "derived: members x changes/s x 20 B, if every process received "
         "every other's revision; size assumed", "members x changes",
         "does not fit: see what breaks first"),
    ]


def platform_rows(figures):
    per_s = figures.get("platform_reads_per_s_at_target")
    writes = figures.get("platform_writes_per_s_at_target")
    applies = CHANGES_PER_S
    return [
        ("watchers and readers", "reads 15 s after all started at once", f"{number(per_s)}/s",
         f"{PLATFORM_READS // 4}/s (a quarter of the rate)",
         "derived: platform_reads_per_s_at_target, line through 256 and 1,024 "
         "members drawn out to the nodes",
         "members, until rosters agree; then zones", "few chosen watchers in each zone"),
        ("roster writers", "conditional updates together",
         f"{number(writes)}/s", f"{PLATFORM_WRITES // 4}/s (a quarter)",
         "derived: platform_writes_per_s_at_target, writes for one change x "
         "changes/s",
         "roster changes, bounded", "batches into shard objects"),
        ("operator command", "apply: a read and a write",
         f"{number(applies * 2)}/s", f"{PLATFORM_WRITES // 4}/s",
         "derived: 2 x changes/s", "changes", "one conditional update"),
        ("platform", "the manifest as one object",
         f"{number(manifest_bytes(figures) / MIB)} MiB",
         f"{PLATFORM_VALUE // MIB} MiB",
         "derived: line through manifest_bytes_500..4000 at the addresses",
         "addresses", "does not fit: see what breaks first"),
        ("platform", "the roster", f"{number(MEMBERS * 300 / MIB)} MiB",
         f"{PLATFORM_VALUE // MIB} MiB an object",
         "derived: members x 300 B; size assumed", "members",
         "shards of one object each"),
    ]


def manifest_bytes(figures):
    return figures.at("manifest_bytes", SERVICES, ADDRESSES)


def roles(figures):
    rows = (balancer_rows(figures) + agent_rows(figures) +
            control_rows(figures) + platform_rows(figures))
    return ("Role", "Quantity", "At the target size", "Budget", "Source",
            "Grows with", "Mechanism"), rows


def events(figures):
    release = figures.get("release_everywhere_s_32")
    zone = figures.get("zone_loss_bytes_per_s_1024")
    tight = figures.get("zone_loss_bytes_per_s_1024_tight")
    known = figures.get("zone_loss_known_s_1024")
    half = figures.get("zone_loss_bytes_per_s_1024_half")
    roster_mib = MEMBERS * ENTRY_BYTES / MIB
    outage = max(figures.get("platform_outage_broken_huon"),
                 figures.get("platform_outage_broken_birchknot"))
    join = figures.get("join_to_first_work_s")
    manifest = max(figures.get("manifest_everywhere_s_huon"),
                   figures.get("manifest_everywhere_s_birchknot"))
    restart = RESTARTS_PER_DAY / DAY_S * 2 * ENTRY_BYTES * GOSSIP_COPIES
    rows = [
        ("ordinary second", "see the roles above", "-",
         "derived: sum of the rows of any process", "gossip, probes"),
        ("release", f"{number(manifest)} s with losses, {number(release)} s "
         "on 32 real processes", f"{EVERYWHERE_S} s",
         "measured: manifest_everywhere_s_huon and _birchknot, "
         "release_everywhere_s_32",
         "watchers, push, revision on every message"),
        ("restarts of an ordinary day", f"{number(restart)} B/s",
         f"{CONTROL_BYTES:,} B/s",
         f"derived: restarts/s x 2 entries x {ENTRY_BYTES} B x "
         f"{GOSSIP_COPIES} copies; sizes assumed", "gossip of entries"),
        ("rack loss", f"{number(RACK_MEMBERS * ENTRY_BYTES * GOSSIP_COPIES)} "
         "B at each process", f"{CONTROL_BYTES:,} B/s",
         f"derived: {RACK_MEMBERS} entries x {ENTRY_BYTES} B x "
         f"{GOSSIP_COPIES} copies; sizes assumed",
         "suspicions, gossip of entries"),
        ("zone loss", f"{number(zone)} B/s at 1,024 members, "
         f"{number(tight)} B/s under a tight budget, known after "
         f"{number(known)} s", f"{CONTROL_BYTES:,} B/s",
         "measured: zone_loss_bytes_per_s_1024, "
         "zone_loss_bytes_per_s_1024_tight, zone_loss_known_s_1024",
         "one record for the zone"),
        ("region split and heal", f"{number(half)} B/s when half of 1,024 "
         "members go", f"{CONTROL_BYTES:,} B/s",
         "measured: zone_loss_bytes_per_s_1024_half; a split of eight "
         "regions at size was not measured",
         "zone records, seeds and digests heal"),
        ("cold start of everything", f"{number(roster_mib)} MiB of roster to "
         f"each process, {number(roster_mib * MIB / CONTROL_BYTES / 60)} min "
         "within the budget", "-",
         f"derived: members x {ENTRY_BYTES} B / budget; size assumed",
         "does not fit: see what breaks first"),
        ("a process joins", f"{number(join)} s to the first work", "3 s",
         "measured: join_to_first_work_s", "digests with seeds"),
        ("platform outage, ten minutes", f"{number(outage)} connections "
         "broken", "0", "measured: platform_outage_broken_huon and _birchknot",
         "gossip alone"),
    ]
    return ("Event", "Figure", "Budget", "Source", "Mechanism"), rows


def breaks(figures):
    _, bytes_each = figures.slope("manifest_bytes", SERVICES)
    _, parse_each = figures.slope("manifest_parse_ms", SERVICES)
    _, view_each = figures.slope("view_build_ms", SERVICES)
    _, us_each = figures.slope("membership_us_per_s", MEMBER_SIZES)
    by_bytes = CONTROL_BYTES / CHANGES_PER_S / bytes_each
    by_parse = CORE_SHARE / CHANGES_PER_S / (parse_each / 1000)
    by_view = (CORE_SHARE / (CHANGES_PER_S + ROSTER_CHANGES_PER_S) /
               (view_each / 1000))
    by_scan = CORE_SHARE * 1e6 / us_each
    by_join = CONTROL_BYTES * 60 / ENTRY_BYTES
    by_start = (PLATFORM_READS /
                figures.get("platform_reads_per_s_slope"))
    by_revisions = CONTROL_BYTES / CHANGES_PER_S / 20
    rows = [
        (by_view, "services, for processor time of views",
         "derived: core share / changes/s / slope of view_build_ms",
         "rebuild only the services that a change affects; share the chains "
         "of all others between views"),
        (by_parse, "services, for processor time of manifests",
         "derived: core share / changes/s / slope of manifest_parse_ms",
         "the manifest in parts, one object for each team, under a small "
         "index object that the conditional update guards"),
        (by_bytes, "services, for control bytes of whole manifests",
         "derived: control bytes / changes/s / slope of manifest_bytes",
         "the same parts: only a changed part travels"),
        (by_revisions, "members, for receiving every other's revision",
         "derived: control bytes / changes/s / 20 B; size assumed",
         "counts of lagging members summed up by zone instead of each "
         "member's revision"),
        (by_start, "members that start at once, for reads of the platform",
         "derived: the platform's rate / platform_reads_per_s_slope",
         "a starting process counts no member as a selected watcher until "
         "its roster agrees with a peer's"),
        (by_join, "members, for a roster within a minute of the start",
         f"derived: control bytes x 60 s / {ENTRY_BYTES} B; size assumed",
         "a process keeps only its own region whole, and of the others the "
         "services it is asked for; bulk from the platform's shards"),
        (by_scan, "members, for processor time of membership",
         "derived: core share / slope of membership_us_per_s",
         "sums kept up to date at each merge instead of scans"),
    ]
    rows.sort()
    return ("Breaks at", "Of what", "Source", "Change of design"), [
        (number(size), what, source, change)
        for size, what, source, change in rows]


TABLES = {"target": target, "roles": roles, "events": events,
          "breaks": breaks}
