/** Detection of requests that crash the servers that run them, by all hosts together. */
@NullMarked
package org.celerygw.core.quarantine;

import org.jspecify.annotations.NullMarked;
