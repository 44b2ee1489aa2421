/** Drives realistic programs through a deployment and checks what the callers and the stand-ins saw. */
@NullMarked
package org.celerygw.cli.load;

import org.jspecify.annotations.NullMarked;
