/** Value types that name customers, programs, hosts and the like. */
@NullMarked
package org.celerygw.core.id;

import org.jspecify.annotations.NullMarked;
