/** TLS for the ports of callers and operators, with reload of changed certificates. */
@NullMarked
package org.celerygw.daemon.tls;

import org.jspecify.annotations.NullMarked;
