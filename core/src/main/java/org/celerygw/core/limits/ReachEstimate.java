package org.celerygw.core.limits;

/** The share of the other hosts that answer this one, estimated from pings of the last rounds. Not thread-safe. */
final class ReachEstimate {
    private static final int ROUNDS = 6;

    private final int[] sent = new int[ROUNDS];
    private final int[] lost = new int[ROUNDS];
    private int round;

    /** Starts a round of pings and forgets the oldest. */
    void nextRound() {
        round++;
        sent[round % ROUNDS] = 0;
        lost[round % ROUNDS] = 0;
    }

    /** Returns the current round. */
    int round() {
        return round;
    }

    void countAnswered(int ofRound) {
        if (round - ofRound < ROUNDS) {
            sent[ofRound % ROUNDS]++;
        }
    }

    void countLost(int ofRound) {
        if (round - ofRound < ROUNDS) {
            sent[ofRound % ROUNDS]++;
            lost[ofRound % ROUNDS]++;
        }
    }

    /** Returns the share of the hosts that answered, from 0 to 1; 1 before the first ping ended. */
    double share() {
        int sentCount = 0;
        int lostCount = 0;
        for (int i = 0; i < ROUNDS; i++) {
            sentCount += sent[i];
            lostCount += lost[i];
        }
        return sentCount == 0 ? 1 : 1 - (double) lostCount / sentCount;
    }
}
