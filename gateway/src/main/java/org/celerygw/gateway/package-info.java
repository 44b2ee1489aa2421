/**
 * Serves clients before backend servers with all state in the store. Start reading at
 * {@link org.celerygw.gateway.Gateway}. Whatever is particular to a deployment's protocol comes in through
 * {@link org.celerygw.gateway.Adapter}.
 */
@NullMarked
package org.celerygw.gateway;

import org.jspecify.annotations.NullMarked;
