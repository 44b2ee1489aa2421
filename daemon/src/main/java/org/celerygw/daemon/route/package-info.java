/** Finds the owner of a program, here or at a peer, and asks again there while the owner changes. */
@NullMarked
package org.celerygw.daemon.route;

import org.jspecify.annotations.NullMarked;
