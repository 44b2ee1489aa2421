package org.celerygw.core.call;

/** The kind of target that a call is sent to. */
public enum CallKind {
    /** A model that runs on an engine. */
    MODEL,
    /** A tool that another service provides. */
    TOOL
}
