#ifndef TARRAGONFLOW_ADMIN_PAGE_H
#define TARRAGONFLOW_ADMIN_PAGE_H

/** The static HTML page that displays /v1/overview. */
extern const char admin_page[];

#endif
