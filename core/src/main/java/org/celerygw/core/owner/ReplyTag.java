package org.celerygw.core.owner;

/**
 * Names one waiting caller on this host; every reply carries the tag of the request it answers.
 *
 * @param number unique while the host runs
 */
public record ReplyTag(long number) {}
