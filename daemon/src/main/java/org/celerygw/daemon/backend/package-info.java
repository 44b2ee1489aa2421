/** HTTP clients for engines and tool services; each failure states whether the call ran, may have run or did not run. */
@NullMarked
package org.celerygw.daemon.backend;

import org.jspecify.annotations.NullMarked;
