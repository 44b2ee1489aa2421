/** A simulated fleet of owners with fault-injecting fakes, an oracle, a fuzzer and scripted failure scenarios. */
@NullMarked
package org.celerygw.standin.world;

import org.jspecify.annotations.NullMarked;
