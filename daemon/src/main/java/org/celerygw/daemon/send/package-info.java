/** Sends dispatched calls: model calls to the engine that the dispatcher selects, tool calls to their service. */
@NullMarked
package org.celerygw.daemon.send;

import org.jspecify.annotations.NullMarked;
