#include "tarragonflow/net/packet_format.h"

const struct packet_format packet_format_ip = {
	.parse = inner_parse,
	.build = inner_build,
	.can_reset_servers = true,
};
