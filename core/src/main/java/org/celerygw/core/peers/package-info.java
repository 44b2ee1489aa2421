/** What hosts make of each other's digests. */
@NullMarked
package org.celerygw.core.peers;

import org.jspecify.annotations.NullMarked;
