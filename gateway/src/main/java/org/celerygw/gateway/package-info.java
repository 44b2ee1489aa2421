/**
 * A reverse proxy that accepts client requests and forwards them to backend servers, with all durable state in the
 * store. The entry point is {@link org.celerygw.gateway.Gateway}; everything specific to the protocol of a deployment's
 * platform is behind {@link org.celerygw.gateway.Adapter}.
 */
@NullMarked
package org.celerygw.gateway;

import org.jspecify.annotations.NullMarked;
