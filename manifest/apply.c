#include "tarragonflow/manifest/apply.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "tarragonflow/manifest/manifest_object.h"

#define CALL_TIMEOUT_MS 3000
#define MAX_ATTEMPTS 8
/* Pause after the first failed write; doubled after each of the next four. */
#define RETRY_PAUSE_BASE_MS 100
#define TOKEN_BYTES 16

/** State of one manifest_apply(). */
struct apply {
	struct object_store *platform;
	/** Key of the deployment's manifest in the store. */
	char key[STORE_KEY_MAX];
	/** The release to apply. */
	struct apply_record record;
	/** The platform's object and its version when it was last read. */
	struct manifest_object current;
	int64_t current_version;
	/** The store's epoch at the last read or accepted write. */
	uint64_t epoch;
	/** Version that the write replaces, and the epoch that assigned it. */
	int64_t base_version;
	uint64_t base_epoch;
	/** The object to write, as JSON. */
	struct strbuf value;
};

static void make_token(char *token)
{
	unsigned char bytes[TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(token, STORE_TOKEN_MAX, bytes, sizeof(bytes));
}

/* Reads the platform's object into @apply; STATUS_OK also when none exists. */
static enum status_code read_current(struct apply *apply, struct status *status)
{
	struct store_request request;
	struct store_result result;

	manifest_object_finish(&apply->current);
	apply->current_version = 0;
	store_request_init(&request, STORE_OP_GET, apply->key);
	request.timeout_ms = CALL_TIMEOUT_MS;
	apply->platform->call(apply->platform, &request, &result);
	apply->epoch = result.epoch;
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
	if (status->code == STATUS_OK)
		apply->epoch = result.epoch;
	store_result_finish(&result);
	store_request_finish(&request);
	return status->code;
}

static void pause_before_retry(struct apply *apply, int attempt)
{
	int64_t pause_ms = RETRY_PAUSE_BASE_MS << MIN(attempt, 4);

	if (apply->platform->sleep)
		apply->platform->sleep(apply->platform, pause_ms);
}

static enum status_code set_conflict_status(const struct apply *apply,
					    struct status *status)
{
	const struct apply_record *current_record =
		apply->current.n_records ? &apply->current.records[0] : NULL;

	return status_set(
		status, STATUS_CONFLICT,
		"release %lld is not applied; %s applied release %lld first",
		(long long)apply->record.release,
		current_record && *current_record->operator_name
			? current_record->operator_name
			: "another operator",
		(long long)apply->current.release);
}

/*
 * Looks for the write by its token after a lost response or a conflict. Sets
 * @outcome_known to false when the object can't be read or is still the one to
 * be replaced: the write may be in flight or lost. The same holds when the
 * store was restored and has an older release.
 */
static enum status_code find_write(struct apply *apply, bool *outcome_known,
				   struct status *status)
{
	struct status read_status;

	*outcome_known = false;
	status_init(&read_status);
	if (read_current(apply, &read_status) != STATUS_OK)
		return STATUS_UNKNOWN;
	if (manifest_object_find_token(&apply->current, apply->record.token)) {
		*outcome_known = true;
		status_init(status);
		return STATUS_OK;
	}
	if (apply->epoch != apply->base_epoch &&
	    apply->current.release < apply->record.release)
		return STATUS_UNKNOWN;
	if (apply->epoch == apply->base_epoch &&
	    apply->current_version == apply->base_version)
		return STATUS_UNKNOWN;
	*outcome_known = true;
	return set_conflict_status(apply, status);
}

/* The write was accepted at a version of another epoch, by chance: it may have
 * replaced any release. */
static enum status_code set_restored_status(const struct apply *apply,
					    struct status *status)
{
	return status_set(
		status, STATUS_UNKNOWN,
		"the platform's store was restored from an older copy while "
		"release %lld was written, which may have replaced a newer "
		"one; check which release should be in force and apply it "
		"under a greater number",
		(long long)apply->record.release);
}

/* Builds the object that replaces the current one. */
static void build_value(struct apply *apply, const struct manifest *manifest)
{
	struct manifest_object next_object = apply->current;

	strbuf_init(&next_object.manifest);
	strbuf_reset(&apply->value);
	manifest_write(manifest, &next_object.manifest);
	manifest_object_add_record(&next_object, &apply->record);
	manifest_object_write(&next_object, &apply->value);
	strbuf_finish(&next_object.manifest);
	apply->base_version = apply->current_version;
	apply->base_epoch = apply->epoch;
}

/*
 * Repeats the write, always with the same token, until its outcome is known.
 * The base version changes only when the store was restored and lacks the
 * write.
 */
static enum status_code write_until_known(struct apply *apply,
					  const struct manifest *manifest,
					  struct status *status)
{
	bool maybe_sent = false, outcome_known;

	for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		enum status_code code = write_once(apply, status);

		if (code == STATUS_OK && apply->epoch != apply->base_epoch)
			return set_restored_status(apply, status);
		if (code == STATUS_OK || code == STATUS_INVALID)
			return code;
		/* This and all earlier attempts sent nothing. */
		if (code == STATUS_UNAVAILABLE && !maybe_sent)
			return code;
		maybe_sent = true;
		code = find_write(apply, &outcome_known, status);
		if (outcome_known)
			return code;
		if (apply->epoch && apply->epoch != apply->base_epoch)
			build_value(apply, manifest);
		pause_before_retry(apply, attempt);
	}
	return status_set(
		status, STATUS_UNKNOWN,
		"the platform did not report whether release %lld was "
		"written; run apply again",
		(long long)apply->record.release);
}

static enum status_code read_and_write(struct apply *apply,
				       const struct manifest *manifest,
				       struct status *status)
{
	if (read_current(apply, status) != STATUS_OK)
		return status->code;
	if (apply->current.release >= manifest->release)
		return status_set(
			status, STATUS_STALE,
			"release %lld is not newer than the current release "
			"%lld, applied by %s",
			(long long)manifest->release,
			(long long)apply->current.release,
			apply->current.n_records
				? apply->current.records[0].operator_name
				: "another operator");
	build_value(apply, manifest);
	if (apply->value.len > STORE_VALUE_MAX)
		return status_set(
			status, STATUS_INVALID,
			"the manifest has %zu bytes, allowed are at most %d",
			apply->value.len, STORE_VALUE_MAX);
	return write_until_known(apply, manifest, status);
}

enum status_code manifest_apply(struct object_store *platform,
				const struct manifest *manifest,
				const char *operator_name,
				struct status *status)
{
	struct apply apply = {.platform = platform};

	if (sodium_init() < 0)
		return status_set(status, STATUS_INTERNAL,
				  "no source of random numbers");
	store_manifest_key(apply.key, &manifest->deployment);
	apply.record.release = manifest->release;
	g_strlcpy(apply.record.operator_name, operator_name,
		  sizeof(apply.record.operator_name));
	make_token(apply.record.token);
	manifest_object_init(&apply.current);
	strbuf_init(&apply.value);
	read_and_write(&apply, manifest, status);
	manifest_object_finish(&apply.current);
	strbuf_finish(&apply.value);
	return status->code;
}
