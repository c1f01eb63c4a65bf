#ifndef TARRAGONFLOW_MANIFEST_APPLY_H
#define TARRAGONFLOW_MANIFEST_APPLY_H

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/store/object_store.h"

/**
 * Puts a checked manifest in force by one conditional update, in the name of
 * the operator @by.
 *
 * STATUS_STALE when the release in force is not older, STATUS_CONFLICT when
 * another operator's release won the race (both named in the message): in
 * both cases the manifest is not and will not be in force. STATUS_UNAVAILABLE
 * when nothing was written; STATUS_UNKNOWN when the platform never said
 * whether the write took effect. A write whose answer is lost is looked for by
 * its token, and repeated under the same token and condition when it is not
 * there, so a write that arrives late cannot follow a refusal.
 */
enum status_code apply_manifest(struct object_store *platform,
				const struct manifest *manifest, const char *by,
				struct status *status);

#endif
