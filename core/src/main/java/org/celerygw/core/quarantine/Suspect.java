package org.celerygw.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.CrashedRun;

/** The runs of a request, or of all requests on a path, in which the server broke off, since its last success. */
final class Suspect {
    private static final int MAX_RUNS = 12;
    private static final int MAX_DOUBLINGS = 6;
    private static final long MAX_TOLD_AGE_MS = 600_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final long PROBE_MS = 5_000;

    private final long minQuarantineMs;
    private final long probeDelayMs;
    private final long separateCrashesMs;
    private final List<Run> runs = new ArrayList<>();
    private long lastSuccessMs = NEVER;
    private long lastProbeMs = NEVER;

    private record Run(int server, long sentMs, long endedMs, boolean hadResult) {}

    /**
     * Creates a suspect without crashes.
     *
     * @param minQuarantineMs how long it stays in quarantine after the first crashes
     * @param probeDelayMs how much later than others this host sends it again, so that not all hosts do at the same time
     * @param separateCrashesMs how far apart the crashes under runs that overlap must be to count each, in ms
     */
    Suspect(long minQuarantineMs, long probeDelayMs, long separateCrashesMs) {
        this.minQuarantineMs = minQuarantineMs;
        this.probeDelayMs = probeDelayMs;
        this.separateCrashesMs = separateCrashesMs;
    }

    void addRun(int server, long sentMs, long endedMs, boolean hadResult) {
        boolean known = runs.stream().anyMatch(run -> run.server() == server);
        if (known || endedMs <= lastSuccessMs) {
            return;
        }
        runs.add(new Run(server, sentMs, endedMs, hadResult));
        runs.sort(Comparator.comparingLong(Run::endedMs));
        if (runs.size() > MAX_RUNS) {
            removeOneRun();
        }
    }

    /** Removes the oldest run that does not count, so that a further crash never lowers the count, or else the oldest. */
    private void removeOneRun() {
        List<Run> counted = countedRuns();
        Run oldest = runs.get(0);
        runs.remove(
                runs.stream().filter(run -> !counted.contains(run)).findFirst().orElse(oldest));
    }

    void addSuccess(long atMs) {
        lastSuccessMs = Math.max(lastSuccessMs, atMs);
        runs.removeIf(run -> run.endedMs() <= lastSuccessMs);
    }

    /**
     * Counts the crashes. A run that had given part of a result counts half: it had gone well for a while, but a request may
     * also crash its server late.
     */
    double crashes() {
        return countedRuns().stream()
                .mapToDouble(run -> run.hadResult() ? 0.5 : 1)
                .sum();
    }

    /**
     * Returns the runs that count: those that began after the last counted one had ended, or ended long enough after it. So
     * servers that fail at the same moment count once for the requests that were under way there.
     */
    private List<Run> countedRuns() {
        List<Run> counted = new ArrayList<>();
        long lastEndedMs = NEVER;
        for (Run run : runs) {
            if (run.sentMs() >= lastEndedMs || run.endedMs() - separateCrashesMs >= lastEndedMs) {
                counted.add(run);
                lastEndedMs = run.endedMs();
            }
        }
        return counted;
    }

    boolean inQuarantine() {
        return crashes() >= Quarantine.MAX_CRASHES;
    }

    /**
     * Returns when this host may send the request again: after the quarantine, one host at a time sends one, as a probe.
     * Its success clears the request; its crash prolongs the quarantine.
     */
    long nextProbeMs() {
        if (!inQuarantine()) {
            return NEVER;
        }
        int furtherCrashes = (int) (crashes() - Quarantine.MAX_CRASHES);
        long quarantineMs = minQuarantineMs << Math.min(furtherCrashes, MAX_DOUBLINGS);
        return Math.max(lastCrashMs() + quarantineMs + probeDelayMs, lastProbeMs + PROBE_MS);
    }

    void recordSend(long nowMs) {
        if (inQuarantine()) {
            lastProbeMs = nowMs;
        }
    }

    long lastChangeMs() {
        return Math.max(lastCrashMs(), Math.max(lastSuccessMs, lastProbeMs));
    }

    private long lastCrashMs() {
        return runs.isEmpty() ? NEVER : runs.get(runs.size() - 1).endedMs();
    }

    CrashSuspect encode(long key, boolean isPath, long nowMs) {
        CrashSuspect.Builder message = CrashSuspect.newBuilder().setRequest(key).setPath(isPath);
        runs.forEach(run -> message.addRuns(CrashedRun.newBuilder()
                .setServer(run.server())
                .setSentAgeMs(nowMs - run.sentMs())
                .setEndedAgeMs(nowMs - run.endedMs())
                .setHadResult(run.hadResult())));
        if (lastSuccessMs != NEVER) {
            message.setSuccessAgeMs(nowMs - lastSuccessMs + 1);
        }
        if (lastProbeMs != NEVER) {
            message.setProbeAgeMs(nowMs - lastProbeMs + 1);
        }
        return message.build();
    }

    void addTold(CrashSuspect told, long nowMs) {
        if (told.getSuccessAgeMs() > 0) {
            addSuccess(nowMs - told.getSuccessAgeMs() + 1);
        }
        if (told.getProbeAgeMs() > 0) {
            lastProbeMs = Math.max(lastProbeMs, nowMs - told.getProbeAgeMs() + 1);
        }
        told.getRunsList().stream()
                .filter(run -> run.getEndedAgeMs() >= 0
                        && run.getSentAgeMs() >= run.getEndedAgeMs()
                        && run.getEndedAgeMs() <= MAX_TOLD_AGE_MS)
                .forEach(run -> addRun(
                        run.getServer(), nowMs - run.getSentAgeMs(), nowMs - run.getEndedAgeMs(), run.getHadResult()));
    }
}
