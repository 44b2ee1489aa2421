/** HTTP client requests with buffered responses; a failed request states whether it may have reached the server. */
@NullMarked
package org.celerygw.daemon.client;

import org.jspecify.annotations.NullMarked;
