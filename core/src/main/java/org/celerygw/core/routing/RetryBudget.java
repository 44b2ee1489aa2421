package org.celerygw.core.routing;

/** Allows retries as a part of first attempts, so that an outage is not followed by a storm. */
final class RetryBudget {
    private static final double PART = 0.1;
    private static final double MAX_SAVED = 20;

    private double saved = MAX_SAVED;

    void started() {
        saved = Math.min(MAX_SAVED, saved + PART);
    }

    boolean take() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
