#ifndef TARRAGONFLOW_MANIFEST_APPLY_H
#define TARRAGONFLOW_MANIFEST_APPLY_H

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/store/object_store.h"

/**
 * Makes a checked manifest the current release of its deployment by one
 * conditional write to the platform, recorded under @operator_name.
 *
 * STATUS_STALE when the current release is not older, STATUS_CONFLICT when
 * another operator's release was written first; the message names that release
 * and operator. In both cases the manifest has not taken effect and never will.
 * STATUS_UNAVAILABLE when nothing was written; STATUS_UNKNOWN when the
 * platform never reported whether the write took effect.
 *
 * When the response to the write is lost, the write is looked up by its token
 * and, if absent, repeated with the same token and condition. A delayed copy
 * of the write therefore can't take effect after this function has reported
 * that it failed.
 */
enum status_code manifest_apply(struct object_store *platform,
				const struct manifest *manifest,
				const char *operator_name,
				struct status *status);

#endif
