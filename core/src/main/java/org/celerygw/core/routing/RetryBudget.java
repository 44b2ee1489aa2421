package org.celerygw.core.routing;

/** Limits retries to a fraction of the started calls, so that an outage does not cause a retry storm. */
final class RetryBudget {
    private static final double CREDIT_PER_CALL = 0.1;
    private static final double MAX_CREDIT = 20;

    private double credit = MAX_CREDIT;

    void callStarted() {
        credit = Math.min(MAX_CREDIT, credit + CREDIT_PER_CALL);
    }

    /** Takes the credit for one retry if available. */
    boolean tryAcquire() {
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }
}
