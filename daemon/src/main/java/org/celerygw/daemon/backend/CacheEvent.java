package org.celerygw.daemon.backend;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence the event's number, counted by the engine from 1; an event whose number is skipped is lost for good
 * @param stored true if the block was stored, false if it was evicted
 * @param blockHash the block's hash
 */
public record CacheEvent(long sequence, boolean stored, long blockHash) {}
