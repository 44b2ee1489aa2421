package org.celerygw.standin.world;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;

/** A back end that runs calls, refuses some with proof, loses some answers and hangs on some. */
final class FakeBackend {
    private final Timeline time;
    private final UniformRandomProvider random;
    private final Oracle oracle;
    private double refuses;
    private double loses;
    private double hangs;
    private long workMs = 300;
    private int answerBytes = 40;
    private long runs;

    FakeBackend(Timeline time, UniformRandomProvider random, Oracle oracle) {
        this.time = time;
        this.random = random;
        this.oracle = oracle;
    }

    void faults(double refuseShare, double loseShare, double hangShare) {
        refuses = refuseShare;
        loses = loseShare;
        hangs = hangShare;
    }

    void work(long eachMs, int bytes) {
        workMs = eachMs;
        answerBytes = bytes;
    }

    /** Takes a call; the sender is told how it ended, with what the sender could prove. */
    void send(CallRequest call, Consumer<Outcome> done) {
        if (random.nextDouble() < refuses) {
            Outcome refused = Outcome.failed(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "refused");
            time.after(random.nextLong(20), () -> done.accept(refused));
            return;
        }
        long waitMs = 1 + random.nextLong(2 * workMs);
        boolean hung = random.nextDouble() < hangs;
        boolean lost = random.nextDouble() < loses;
        int outputTokens = random.nextInt(call.maxOutputTokens() + 1);
        String answer = answer(call, ++runs);
        oracle.ran(call, answer, call.promptTokens() + outputTokens);
        Outcome unknown = Outcome.failed(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "no answer");
        if (hung) {
            time.after(Math.max(0, call.deadlineMs() - time.nowMs()) + 50, () -> done.accept(unknown));
            return;
        }
        Outcome answered = Outcome.answered(200, "text/plain", ByteString.copyFromUtf8(answer), outputTokens);
        time.after(waitMs, () -> done.accept(lost ? unknown : answered));
    }

    private String answer(CallRequest call, long run) {
        String text = "run " + run + " of " + call.id() + " for " + call.body().toStringUtf8();
        return text.length() >= answerBytes ? text : text + ".".repeat(answerBytes - text.length());
    }
}
