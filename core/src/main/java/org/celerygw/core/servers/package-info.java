/** The registered backend servers, their load and health, and the selection of the server for a request. */
@NullMarked
package org.celerygw.core.servers;

import org.jspecify.annotations.NullMarked;
