/** The owner of a set of slots: decides, in order and durably, the calls of the programs in them. */
@NullMarked
package org.celerygw.core.owner;

import org.jspecify.annotations.NullMarked;
