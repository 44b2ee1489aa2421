package org.celerygw.core.call;

/** What a call goes to. */
public enum CallKind {
    /** A model, on an engine. */
    MODEL,
    /** A tool, on a plain service. */
    TOOL
}
