/** Load generator: runs simulated programs through a deployment and audits the results at callers and stand-ins. */
@NullMarked
package org.celerygw.cli.load;

import org.jspecify.annotations.NullMarked;
