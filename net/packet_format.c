#include "tarragonflow/net/packet_format.h"

const struct packet_format packet_format_ip = {
	.parse = inner_parse,
	.build = inner_build,
	/* TCP windows of tens of MiB are common. */
	.seq_window = 1 << 26,
	.can_reset_servers = true,
};
