package org.celerygw.core.owner;

/**
 * Identifies a caller that waits for a reply from this host; a reply carries the tag of the request that it answers.
 *
 * @param number unique during the life of the host process
 */
public record ReplyTag(long number) {}
