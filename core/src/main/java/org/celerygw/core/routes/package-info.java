/** Which service a request goes to: routes by host and longest prefix, with their limits, at one version. */
@NullMarked
package org.celerygw.core.routes;

import org.jspecify.annotations.NullMarked;
