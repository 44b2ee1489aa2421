/** Metrics in the Prometheus text format; docs/OPERATIONS.md lists the names. */
@NullMarked
package org.celerygw.daemon.metrics;

import org.jspecify.annotations.NullMarked;
