#ifndef TARRAGONFLOW_COMMON_FILE_WATCH_H
#define TARRAGONFLOW_COMMON_FILE_WATCH_H

#include <stdbool.h>
#include <sys/stat.h>

/** Detects by polling that a file was written or replaced. */
struct file_watch {
	const char *path;
	/** Result of the last successful stat(); all zero before the first. */
	struct stat last_stat;
};

/** Watches the file at @path; the string must outlive the watch. */
void file_watch_init(struct file_watch *watch, const char *path);

/**
 * Whether the file's inode, modification time or size has changed since the
 * last call. A missing file counts as unchanged, since a replacement may be
 * about to be moved into its place.
 */
bool file_watch_changed(struct file_watch *watch);

#endif
