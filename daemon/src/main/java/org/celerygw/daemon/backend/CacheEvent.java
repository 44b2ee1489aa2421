package org.celerygw.daemon.backend;

/**
 * A change of an engine's prefix cache.
 *
 * @param number counts the engine's events from 1; a number left out is an event lost for good
 * @param stored whether the block was stored; otherwise it was removed
 * @param blockHash the block's hash
 */
public record CacheEvent(long number, boolean stored, long blockHash) {}
