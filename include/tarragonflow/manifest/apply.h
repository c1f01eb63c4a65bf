#ifndef TARRAGONFLOW_MANIFEST_APPLY_H
#define TARRAGONFLOW_MANIFEST_APPLY_H

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/platform/platform.h"

/**
 * Puts a checked manifest in force by one conditional update.
 *
 * STATUS_STALE when the release in force is not older, STATUS_CONFLICT when
 * another operator's release won the race (named in the message),
 * STATUS_UNAVAILABLE when nothing was written, STATUS_UNKNOWN when the
 * platform never said whether the write took effect.
 */
enum status_code apply_manifest(struct platform *platform,
				const struct manifest *manifest,
				struct status *status);

#endif
