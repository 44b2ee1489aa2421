/** Runs the owner of this host's slots: delivers events, executes effects and relays responses to callers. */
@NullMarked
package org.celerygw.daemon.work;

import org.jspecify.annotations.NullMarked;
