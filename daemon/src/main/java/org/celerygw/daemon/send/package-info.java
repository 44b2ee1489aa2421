/** Sends the calls that the owner dispatches: model calls by the dispatcher's choice of engine, tool calls by service. */
@NullMarked
package org.celerygw.daemon.send;

import org.jspecify.annotations.NullMarked;
