#include "tarragonflow/manifest/apply.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
#define READ_BACK_TRIES 5
#define READ_BACK_PAUSE_US 200000
#define TOKEN_BYTES 16

/** What the platform holds now. */
struct current {
	int64_t version;
	int64_t release;
	char token[PLATFORM_TOKEN_MAX];
};

static void make_token(char *token)
{
	unsigned char bytes[TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(token, PLATFORM_TOKEN_MAX, bytes, sizeof(bytes));
}

static void current_take(struct current *current,
			 const struct platform_object *object)
{
	struct manifest manifest;
	struct status status;

	status_init(&status);
	manifest_init(&manifest);
	current->version = object->version;
	memcpy(current->token, object->token, sizeof(current->token));
	if (manifest_parse(&manifest, strbuf_str(&object->value), "platform",
			   &status) == STATUS_OK)
		current->release = manifest.release;
	manifest_finish(&manifest);
}

static enum status_code read_current(struct platform *platform, const char *key,
				     struct current *current,
				     struct status *status)
{
	struct platform_request request;
	struct platform_result result;

	memset(current, 0, sizeof(*current));
	platform_request_init(&request, PLATFORM_OP_GET, key);
	request.timeout_ms = CALL_TIMEOUT_MS;
	platform->call(platform, &request, &result);
	if (result.status.code == STATUS_OK && result.n_objects)
		current_take(current, &result.objects[0]);
	else if (result.status.code != STATUS_NOT_FOUND)
		*status = result.status;
	platform_result_finish(&result);
	platform_request_finish(&request);
	return status->code;
}

/* After a lost answer: did our write take effect? Asked, never guessed. */
static enum status_code settle_unknown(struct platform *platform,
				       const char *key, const char *token,
				       struct status *status)
{
	struct current current;

	for (int i = 0; i < READ_BACK_TRIES; i++) {
		struct status read;

		status_init(&read);
		if (read_current(platform, key, &current, &read) == STATUS_OK) {
			if (!strcmp(current.token, token)) {
				status_init(status);
				return STATUS_OK;
			}
			return status_set(status, STATUS_CONFLICT,
					  "not applied; release %lld is in "
					  "force",
					  (long long)current.release);
		}
		g_usleep(READ_BACK_PAUSE_US);
	}
	return status_set(status, STATUS_UNKNOWN,
			  "the platform did not say whether the release was "
			  "taken; run apply again");
}

static enum status_code report_conflict(struct platform *platform,
					const char *key, struct status *status)
{
	struct current current;
	struct status read;

	status_init(&read);
	if (read_current(platform, key, &current, &read) != STATUS_OK)
		return status_set(status, STATUS_CONFLICT,
				  "another release won the race");
	return status_set(status, STATUS_CONFLICT, "release %lld won the race",
			  (long long)current.release);
}

static enum status_code write_manifest(struct platform *platform,
				       const char *key,
				       const struct manifest *manifest,
				       int64_t version, struct status *status)
{
	struct platform_request request;
	struct platform_result result;

	platform_request_init(&request, PLATFORM_OP_PUT, key);
	request.timeout_ms = CALL_TIMEOUT_MS;
	request.version = version;
	make_token(request.token);
	manifest_write(manifest, &request.value);
	platform->call(platform, &request, &result);
	*status = result.status;
	if (status->code == STATUS_UNKNOWN)
		settle_unknown(platform, key, request.token, status);
	else if (status->code == STATUS_CONFLICT)
		report_conflict(platform, key, status);
	platform_result_finish(&result);
	platform_request_finish(&request);
	return status->code;
}

enum status_code apply_manifest(struct platform *platform,
				const struct manifest *manifest,
				struct status *status)
{
	struct current current;
	char key[PLATFORM_KEY_MAX];

	if (sodium_init() < 0)
		return status_set(status, STATUS_INTERNAL,
				  "no source of randomness");
	platform_manifest_key(key, &manifest->deployment);
	if (read_current(platform, key, &current, status) != STATUS_OK)
		return status->code;
	if (current.release >= manifest->release)
		return status_set(status, STATUS_STALE,
				  "release %lld is not newer than release "
				  "%lld, which is in force",
				  (long long)manifest->release,
				  (long long)current.release);
	return write_manifest(platform, key, manifest, current.version, status);
}
