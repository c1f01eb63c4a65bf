#include "tarragonflow/manifest/apply.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "tarragonflow/manifest/manifest_object.h"

#define CALL_TIMEOUT_MS 3000
#define TRIES 8
#define PAUSE_BASE_MS 100
#define TOKEN_BYTES 16

/** One apply under way. */
struct apply {
	struct object_store *platform;
	char key[STORE_KEY_MAX];
	struct apply_record record;
	/** What the platform held when it was last read. */
	struct manifest_object current;
	int64_t current_version;
	/** Version that our write replaces. */
	int64_t base_version;
	struct strbuf value;
};

static void make_token(char *token)
{
	unsigned char bytes[TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(token, STORE_TOKEN_MAX, bytes, sizeof(bytes));
}

static enum status_code read_current(struct apply *apply, struct status *status)
{
	struct store_request request;
	struct store_result result;

	manifest_object_finish(&apply->current);
	apply->current_version = 0;
	store_request_init(&request, STORE_OP_GET, apply->key);
	request.timeout_ms = CALL_TIMEOUT_MS;
	apply->platform->call(apply->platform, &request, &result);
	if (result.status.code == STATUS_OK && result.n_objects) {
		apply->current_version = result.objects[0].version;
		manifest_object_read(&apply->current,
				     strbuf_str(&result.objects[0].value));
	} else if (result.status.code != STATUS_NOT_FOUND) {
		*status = result.status;
	}
	store_result_finish(&result);
	store_request_finish(&request);
	return status->code;
}

static enum status_code write_once(struct apply *apply, struct status *status)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_PUT, apply->key);
	request.timeout_ms = CALL_TIMEOUT_MS;
	request.version = apply->base_version;
	g_strlcpy(request.token, apply->record.token, sizeof(request.token));
	strbuf_add(&request.value, apply->value.data, apply->value.len);
	apply->platform->call(apply->platform, &request, &result);
	*status = result.status;
	store_result_finish(&result);
	store_request_finish(&request);
	return status->code;
}

static void pause_before_retry(struct apply *apply, int try)
{
	int64_t ms = PAUSE_BASE_MS << MIN(try, 4);

	if (apply->platform->sleep)
		apply->platform->sleep(apply->platform, ms);
}

static enum status_code say_refused(const struct apply *apply,
				    struct status *status)
{
	const struct apply_record *winner =
		apply->current.n_records ? &apply->current.records[0] : NULL;

	return status_set(status, STATUS_CONFLICT,
			  "release %lld is not applied; %s won the race with "
			  "release %lld",
			  (long long)apply->record.release,
			  winner && *winner->by ? winner->by
						: "another operator",
			  (long long)apply->current.release);
}

/*
 * After a lost answer or a conflict: asks where our write is. Sets @settled
 * unless the write may still be on its way or was never received.
 */
static enum status_code look_for_write(struct apply *apply, bool *settled,
				       struct status *status)
{
	struct status read;

	*settled = false;
	status_init(&read);
	if (read_current(apply, &read) != STATUS_OK)
		return STATUS_UNKNOWN;
	if (manifest_object_find_token(&apply->current, apply->record.token)) {
		*settled = true;
		status_init(status);
		return STATUS_OK;
	}
	if (apply->current_version == apply->base_version)
		return STATUS_UNKNOWN;
	*settled = true;
	return say_refused(apply, status);
}

/* Writes until the outcome is certain, always under one token and version. */
static enum status_code write_settled(struct apply *apply,
				      struct status *status)
{
	bool sent = false, settled;

	for (int try = 0; try < TRIES; try++) {
		enum status_code code = write_once(apply, status);

		if (code == STATUS_OK || code == STATUS_INVALID)
			return code;
		/* Nothing was sent, now or before: no outcome is in doubt. */
		if (code == STATUS_UNAVAILABLE && !sent)
			return code;
		sent = true;
		code = look_for_write(apply, &settled, status);
		if (settled)
			return code;
		pause_before_retry(apply, try);
	}
	return status_set(status, STATUS_UNKNOWN,
			  "the platform did not say whether release %lld was "
			  "taken; run apply again",
			  (long long)apply->record.release);
}

static void build_value(struct apply *apply, const struct manifest *manifest)
{
	struct manifest_object next = apply->current;

	strbuf_init(&next.manifest);
	manifest_write(manifest, &next.manifest);
	manifest_object_add_record(&next, &apply->record);
	manifest_object_write(&next, &apply->value);
	strbuf_finish(&next.manifest);
	apply->base_version = apply->current_version;
}

static enum status_code
run(struct apply *apply, const struct manifest *manifest, struct status *status)
{
	if (read_current(apply, status) != STATUS_OK)
		return status->code;
	if (apply->current.release >= manifest->release)
		return status_set(status, STATUS_STALE,
				  "release %lld is not newer than release "
				  "%lld, which %s put in force",
				  (long long)manifest->release,
				  (long long)apply->current.release,
				  apply->current.n_records
					  ? apply->current.records[0].by
					  : "another operator");
	build_value(apply, manifest);
	if (apply->value.len > STORE_VALUE_MAX)
		return status_set(status, STATUS_INVALID,
				  "the manifest has %zu bytes, allowed are %d",
				  apply->value.len, STORE_VALUE_MAX);
	return write_settled(apply, status);
}

enum status_code apply_manifest(struct object_store *platform,
				const struct manifest *manifest, const char *by,
				struct status *status)
{
	struct apply apply = {.platform = platform};

	if (sodium_init() < 0)
		return status_set(status, STATUS_INTERNAL,
				  "no source of randomness");
	store_manifest_key(apply.key, &manifest->deployment);
	apply.record.release = manifest->release;
	g_strlcpy(apply.record.by, by, sizeof(apply.record.by));
	make_token(apply.record.token);
	manifest_object_init(&apply.current);
	strbuf_init(&apply.value);
	run(&apply, manifest, status);
	manifest_object_finish(&apply.current);
	strbuf_finish(&apply.value);
	return status->code;
}
