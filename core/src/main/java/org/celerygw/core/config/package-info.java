/** Versions of the configuration: checked, accepted by conditional write, learned and never reverted. */
@NullMarked
package org.celerygw.core.config;

import org.jspecify.annotations.NullMarked;
