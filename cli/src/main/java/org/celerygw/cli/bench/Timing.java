package org.celerygw.cli.bench;

/**
 * How long one call took.
 *
 * @param firstByteMicros from sending to the first byte of the answer's body
 * @param wholeMicros from sending to the end of the answer
 * @param failure what was wrong; empty when the answer was whole
 */
record Timing(long firstByteMicros, long wholeMicros, String failure) {
    boolean ok() {
        return failure.isEmpty();
    }
}
