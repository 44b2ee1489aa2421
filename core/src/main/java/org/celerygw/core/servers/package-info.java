/** The backend servers that may be used, what is known of each, and which one a request goes to. */
@NullMarked
package org.celerygw.core.servers;

import org.jspecify.annotations.NullMarked;
