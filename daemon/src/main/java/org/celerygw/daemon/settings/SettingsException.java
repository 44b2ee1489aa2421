package org.celerygw.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.celerygw.core.error.ErrorCode;

/** Settings that cannot be used, with every fault found in them. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns every fault, in the order of the file's lines.
     *
     * @return at least one fault
     */
    public List<Problem> problems() {
        return problems;
    }

    /**
     * Returns the kind of failure.
     *
     * @return always {@link ErrorCode#INVALID_ARGUMENT}
     */
    public ErrorCode code() {
        return ErrorCode.INVALID_ARGUMENT;
    }
}
