package org.celerygw.core.helper;

import java.util.regex.Pattern;

/**
 * Tells which status codes an HTTP/1 response may have, and finds status lines in places where none may stand. A server
 * that breaks off in a response head and goes on with the next response writes what a parser takes for one head, with the
 * status of the first and the header section of the second; the status line of the second stands in the reason phrase or
 * in a header field.
 */
public final class StatusLine {
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d{2}");
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    /**
     * Also matches codes that no response may have, as a server in trouble may write them. What follows the code tells it
     * from an address, which may stand behind a version in a Via field.
     */
    private static final Pattern VERSION_AND_STATUS = Pattern.compile("HTTP/\\d\\.\\d [-+]?\\d\\w{0,3}(?=[ \\r]|$)");

    private StatusLine() {}

    /**
     * Returns whether a text is a status code that a response may have.
     *
     * @param code the code as it stands in the status line
     * @return true for three digits of which the first is 1 to 5
     */
    public static boolean isStatus(String code) {
        return STATUS.matcher(code).matches();
    }

    /**
     * Returns whether a status code can end a request.
     *
     * @param status the code
     * @return false for an interim code and for one that no response may have
     */
    public static boolean isFinal(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns whether a text holds the beginning of a status line.
     *
     * @param text a reason phrase, or the name or value of a header field
     * @return true if a version and a status code stand in it, at any position
     */
    public static boolean occursIn(String text) {
        return text.contains("HTTP/") && VERSION_AND_STATUS.matcher(text).find();
    }

    /**
     * Returns whether a status line stands at a position of a text.
     *
     * @param text the text
     * @param start the position
     * @param end where the text ends that is looked at
     * @return true if a version and a status code begin there
     */
    public static boolean occursAt(String text, int start, int end) {
        return VERSION_AND_STATUS.matcher(text).region(start, end).lookingAt();
    }
}
