/** Routing of requests to services by host and longest path prefix, with the limits of one configuration version. */
@NullMarked
package org.celerygw.core.routes;

import org.jspecify.annotations.NullMarked;
