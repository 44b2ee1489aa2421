/** Small stand-ins for the platform, the engines and the tool services. */
@NullMarked
package org.celerygw.standin;

import org.jspecify.annotations.NullMarked;
