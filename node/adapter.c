#include "tarragonflow/node/adapter.h"

const struct adapter adapter_native = {
	.name = "native",
	.format = &packet_format_ip,
	.dialect = &http_dialect_native,
};
