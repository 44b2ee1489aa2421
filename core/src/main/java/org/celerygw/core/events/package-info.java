/** Parsing of event streams into complete events, so that no partial event is forwarded. */
@NullMarked
package org.celerygw.core.events;

import org.jspecify.annotations.NullMarked;
