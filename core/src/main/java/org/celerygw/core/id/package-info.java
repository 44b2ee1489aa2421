/** Value types for the ids and names of customers, programs, hosts and other entities. */
@NullMarked
package org.celerygw.core.id;

import org.jspecify.annotations.NullMarked;
