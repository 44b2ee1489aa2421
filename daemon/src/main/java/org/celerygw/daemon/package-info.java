/** The daemon: sockets, timers and settings round the core. */
@NullMarked
package org.celerygw.daemon;

import org.jspecify.annotations.NullMarked;
