package org.celerygw.standin.world;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;

/** A simulated back end that runs calls and, at configured rates, refuses them unrun, loses answers or hangs. */
final class FakeBackend {
    private final SimulatedClock clock;
    private final UniformRandomProvider random;
    private final Oracle oracle;
    private double refusalProbability;
    private double answerLossProbability;
    private double hangProbability;
    private long meanWorkMs = 300;
    private int answerBytes = 40;
    private long runCount;

    FakeBackend(SimulatedClock clock, UniformRandomProvider random, Oracle oracle) {
        this.clock = clock;
        this.random = random;
        this.oracle = oracle;
    }

    void setFaultProbabilities(double refusal, double answerLoss, double hang) {
        refusalProbability = refusal;
        answerLossProbability = answerLoss;
        hangProbability = hang;
    }

    void setWork(long meanMs, int bytes) {
        meanWorkMs = meanMs;
        answerBytes = bytes;
    }

    /** Runs a call and reports its outcome to the sender, with the run state that the sender could prove. */
    void send(CallRequest call, Consumer<Outcome> callback) {
        if (random.nextDouble() < refusalProbability) {
            Outcome refused = Outcome.failed(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "refused");
            clock.schedule(random.nextLong(20), () -> callback.accept(refused));
            return;
        }
        long waitMs = 1 + random.nextLong(2 * meanWorkMs);
        boolean hung = random.nextDouble() < hangProbability;
        boolean lost = random.nextDouble() < answerLossProbability;
        int outputTokens = random.nextInt(call.maxOutputTokens() + 1);
        String answer = answerText(call, ++runCount);
        oracle.callStarted(call, answer, call.promptTokens() + outputTokens);
        Outcome unknown = Outcome.failed(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "no answer");
        if (hung) {
            clock.schedule(Math.max(0, call.deadlineMs() - clock.nowMs()) + 50, () -> callback.accept(unknown));
            return;
        }
        Outcome answered = Outcome.answered(200, "text/plain", ByteString.copyFromUtf8(answer), outputTokens);
        clock.schedule(waitMs, () -> callback.accept(lost ? unknown : answered));
    }

    private String answerText(CallRequest call, long runNumber) {
        String text =
                "run " + runNumber + " of " + call.id() + " for " + call.body().toStringUtf8();
        return text.length() >= answerBytes ? text : text + ".".repeat(answerBytes - text.length());
    }
}
