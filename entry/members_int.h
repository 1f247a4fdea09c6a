#ifndef MEMBERS_INT_H
#define MEMBERS_INT_H

#include "node_int.h"

/* Internal to the files of messages between entries. */

/* members.c */
/* Returns "" if the field is missing or not a string. */
const char *members_get_text(const json_t *message, const char *key);
/* Returns 0 if the field is missing or not an integer. */
int64_t members_get_integer(const json_t *message, const char *key);
/*
 * Connects to a member, and adds it to the list or updates its address.  NULL
 * if the id is empty or ours, if the connection fails, or if out of memory.
 */
struct member *members_add_or_update(
    struct node *, const char *id, const char *address, double power);
/* Empties the list; the connections stay. */
void members_free(struct node *);
/* Removes members that sent no hello lately; none while we lack the store. */
void members_remove_silent(struct node *, int64_t now_ms);

/* members_heartbeat.c */
void members_handle_hello(struct node *, const json_t *message, int64_t now_ms);
void members_handle_heartbeat(
    struct node *, const json_t *message, int64_t now_ms);

/* members_vote.c */
void members_handle_vote_request(
    struct node *, const json_t *message, int64_t now_ms);
/* The leader resigned. */
void members_handle_resign(
    struct node *, const json_t *message, int64_t now_ms);
void members_handle_vote(struct node *, const json_t *message);

#endif /* MEMBERS_INT_H */
