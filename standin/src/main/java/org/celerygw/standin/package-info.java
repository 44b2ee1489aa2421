/** Stand-ins for the platform, the engines and the tool services, for tests, demos and benchmarks. */
@NullMarked
package org.celerygw.standin;

import org.jspecify.annotations.NullMarked;
