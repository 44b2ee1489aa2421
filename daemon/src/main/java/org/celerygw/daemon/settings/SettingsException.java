package org.celerygw.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.celerygw.core.error.ErrorCode;

/** Thrown for invalid settings; carries every problem found in them. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns every problem, in the order of the file's lines.
     *
     * @return at least one problem
     */
    public List<Problem> problems() {
        return problems;
    }

    /**
     * Returns the error code, from which the process's exit code follows.
     *
     * @return always {@link ErrorCode#INVALID_ARGUMENT}
     */
    public ErrorCode code() {
        return ErrorCode.INVALID_ARGUMENT;
    }
}
