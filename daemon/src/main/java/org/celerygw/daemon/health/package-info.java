/** Whether this host lives and whether it takes new requests. */
@NullMarked
package org.celerygw.daemon.health;

import org.jspecify.annotations.NullMarked;
