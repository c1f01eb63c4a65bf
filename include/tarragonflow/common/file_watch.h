#ifndef TARRAGONFLOW_COMMON_FILE_WATCH_H
#define TARRAGONFLOW_COMMON_FILE_WATCH_H

#include <stdbool.h>
#include <sys/stat.h>

/** Notices that a file was written or replaced, without any notice of it. */
struct file_watch {
	const char *path;
	/** The file as it was seen last; all zero when it was not there. */
	struct stat seen;
};

/** Watches the file at @path, which must outlive the watch. */
void file_watch_init(struct file_watch *watch, const char *path);

/**
 * Whether the file is another one, or has another time or size, than at the
 * last call. A file that is not there has not changed: it may be about to be
 * put in place.
 */
bool file_watch_changed(struct file_watch *watch);

#endif
