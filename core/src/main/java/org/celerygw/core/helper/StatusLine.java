package org.celerygw.core.helper;

import java.util.regex.Pattern;

/**
 * Finds status lines of HTTP/1 in places where none may stand. A server that breaks off in a response head and goes on with
 * the next response writes what a parser takes for one head, with the status of the first and the header section of the
 * second; the status line of the second stands in the reason phrase or in a header field.
 */
public final class StatusLine {
    /** What follows the code tells it from an address, which may stand behind a version in a Via field. */
    private static final Pattern VERSION_AND_STATUS = Pattern.compile("HTTP/\\d\\.\\d [1-5]\\d{2}(?= |$)");

    private StatusLine() {}

    /**
     * Returns whether a text holds the beginning of a status line.
     *
     * @param text a reason phrase, or the name or value of a header field
     * @return true if a version and a status code stand in it, at any position
     */
    public static boolean occursIn(String text) {
        return text.contains("HTTP/") && VERSION_AND_STATUS.matcher(text).find();
    }
}
