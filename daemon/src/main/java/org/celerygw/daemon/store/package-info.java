/** Clients of the platform's table service, object store and host list over HTTP. */
@NullMarked
package org.celerygw.daemon.store;

import org.jspecify.annotations.NullMarked;
