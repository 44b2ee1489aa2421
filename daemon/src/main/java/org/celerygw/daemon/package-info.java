/** The daemon process: startup, graceful stop, fleet membership and the operator API around the core. */
@NullMarked
package org.celerygw.daemon;

import org.jspecify.annotations.NullMarked;
