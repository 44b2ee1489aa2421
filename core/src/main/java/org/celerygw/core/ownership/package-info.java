/** Which host owns which slot, and when a host counts as dead. */
@NullMarked
package org.celerygw.core.ownership;

import org.jspecify.annotations.NullMarked;
