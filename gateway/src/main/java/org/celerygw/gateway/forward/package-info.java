/** The way of one request from a client to a backend server and back. */
@NullMarked
package org.celerygw.gateway.forward;

import org.jspecify.annotations.NullMarked;
