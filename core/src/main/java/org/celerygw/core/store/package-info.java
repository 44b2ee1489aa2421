/** The platform interfaces: a transactional table and an object store, both asynchronous. */
@NullMarked
package org.celerygw.core.store;

import org.jspecify.annotations.NullMarked;
