package org.celerygw.core.servers;

/**
 * A part of a prompt that requests share, which an engine may still have in its cache.
 *
 * @param id the part's id
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, int tokens) {}
