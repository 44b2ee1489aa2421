package org.celerygw.gateway.net;

import java.nio.charset.StandardCharsets;
import org.celerygw.core.helper.StatusLine;

/**
 * Looks for the head of another response in a body: a server that breaks off in a body and then sends a second response
 * on the same connection fills the body up with it. Only a head that names a request counts, since a body may quote others.
 */
final class SplicedBodyDetector {
    private static final String STATUS_LINE_START = "HTTP/1.";
    private static final String LINE_END = "\r\n";
    /** How much of a head is searched for the field. */
    private static final int MAX_HEAD_CHARS = 4_096;

    /** A body with more of them quotes them; also bounds the work for a body. */
    private static final int MAX_STATUS_LINES = 64;

    private final String field;
    /** The end of what was added, from where a head may begin that was not searched whole yet. */
    private String window = "";

    private int statusLines;
    private boolean found;

    /**
     * Creates a detector for one body.
     *
     * @param requestIdField the name of the header field by which a response names its request
     */
    SplicedBodyDetector(String requestIdField) {
        this.field = requestIdField + ":";
    }

    /** Adds the next bytes of the body. */
    void add(byte[] bytes) {
        search(bytes, Integer.MAX_VALUE);
    }

    /** Adds bytes that follow the body; a head counts only if it begins before them. */
    void addBeyond(byte[] bytes) {
        search(bytes, window.length());
    }

    /** Returns whether such a head was found. */
    boolean found() {
        return found;
    }

    private void search(byte[] added, int startLimit) {
        String text = window + new String(added, StandardCharsets.ISO_8859_1);
        int start = text.indexOf(STATUS_LINE_START);
        while (start >= 0 && start < startLimit && !found && statusLines < MAX_STATUS_LINES) {
            found = isHead(text, start, Math.min(text.length(), start + MAX_HEAD_CHARS));
            start = text.indexOf(STATUS_LINE_START, start + 1);
        }
        int open = text.indexOf(STATUS_LINE_START, Math.max(0, text.length() - MAX_HEAD_CHARS));
        window = text.substring(open >= 0 ? open : Math.max(0, text.length() - STATUS_LINE_START.length() + 1));
    }

    /** Returns whether a status line and a header section that has the field begin in this part of the text. */
    private boolean isHead(String text, int start, int limit) {
        if (!StatusLine.occursAt(text, start, limit)) {
            return false;
        }
        statusLines++;
        int line = text.indexOf(LINE_END, start);
        while (line >= 0 && line < limit) {
            line += LINE_END.length();
            if (text.regionMatches(true, line, field, 0, field.length())) {
                return true;
            }
            int end = text.indexOf(LINE_END, line);
            line = end == line ? -1 : end;
        }
        return false;
    }
}
