#ifndef TARRAGONFLOW_ADMIN_PAGE_H
#define TARRAGONFLOW_ADMIN_PAGE_H

/** The static page that shows what /v1/overview tells. */
extern const char admin_page[];

#endif
