#ifndef LOOP_H
#define LOOP_H
#include <stddef.h>
/* Adds a descriptor to the next round of the loop. */
void loop_add(int fd, void (*handle)(size_t index), size_t index);
void store_watch_fds(void);
void store_tick(void);
#endif
