/** HTTP requests that are answered whole, or known not to have been sent, or lost. */
@NullMarked
package org.celerygw.daemon.client;

import org.jspecify.annotations.NullMarked;
