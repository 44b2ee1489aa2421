/** Configuration versions: validation, acceptance by conditional write, distribution to all daemons, activation. */
@NullMarked
package org.celerygw.core.config;

import org.jspecify.annotations.NullMarked;
