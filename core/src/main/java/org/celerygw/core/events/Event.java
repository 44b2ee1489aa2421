package org.celerygw.core.events;

/**
 * One whole event of a stream.
 *
 * @param bytes the event as it came, with its closing empty line
 * @param id its id; -1 when it has none that is a number
 * @param data its data, each line but the last followed by a line feed
 */
public record Event(byte[] bytes, long id, byte[] data) {}
