/** The owner of a set of slots, which runs the programs in them: it orders their calls and records each decision. */
@NullMarked
package org.celerygw.core.owner;

import org.jspecify.annotations.NullMarked;
