package org.celerygw.core.events;

/**
 * A complete event of an event stream.
 *
 * @param bytes the event as received, including the empty line that ends it
 * @param id its id; -1 if it has no numeric id
 * @param data its data lines, separated by line feeds
 */
public record ServerSentEvent(byte[] bytes, long id, byte[] data) {}
