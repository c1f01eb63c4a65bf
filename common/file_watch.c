#include "tarragonflow/common/file_watch.h"

#include <string.h>

static bool same_version(const struct stat *a, const struct stat *b)
{
	return a->st_dev == b->st_dev && a->st_ino == b->st_ino &&
	       a->st_size == b->st_size &&
	       a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
	       a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

void file_watch_init(struct file_watch *watch, const char *path)
{
	memset(watch, 0, sizeof(*watch));
	watch->path = path;
	file_watch_changed(watch);
}

bool file_watch_changed(struct file_watch *watch)
{
	struct stat current;

	if (stat(watch->path, &current) ||
	    same_version(&current, &watch->last_stat))
		return false;
	watch->last_stat = current;
	return true;
}
