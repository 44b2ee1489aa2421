/** Liveness and readiness of this host, for the health and ready endpoints. */
@NullMarked
package org.celerygw.daemon.health;

import org.jspecify.annotations.NullMarked;
