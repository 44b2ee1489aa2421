/** Assignment of slots to hosts, claims and releases of slots, and detection of dead hosts by leases. */
@NullMarked
package org.celerygw.core.ownership;

import org.jspecify.annotations.NullMarked;
